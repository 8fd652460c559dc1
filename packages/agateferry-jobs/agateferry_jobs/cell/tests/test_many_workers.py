import asyncio

import testtools

from agateferry_core.clock import MS_PER_S
from agateferry_core.support import run_virtual
from agateferry_jobs.cell.leader import TAKEOVER_WAIT_MS, Leader
from agateferry_jobs.cell.worker_sessions import MAX_CONTACT_POLLS
from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.support import (
    MemoryReplica,
    ModelWorker,
    job_command,
    manifest,
    start_of,
    worker,
)
from agateferry_jobs.support.builders import SUBTASK_RESOURCES
from agateferry_jobs.workers.session import POLL_TIMEOUT_MARGIN_MS

LEASE_MS = 8_000
MANY_WORKERS = 3_000
MOST_WORKERS_WITHOUT_WAIT = 270
"""The largest fleet whose first answers must be known as soon as its workers give them."""
RUNS = 100
ANSWER_MS = 10
"""How long a model worker takes to answer a poll."""


class ManyWorkersCase(testtools.TestCase):
    def check(self, scenario, worker_count):
        async def main(loop):
            self.loop = loop
            self.polled = []
            self.polls_in_flight = self.most_in_flight = 0
            self.ledger = Ledger()
            self.replica = MemoryReplica(self.ledger)
            self.ports = {}
            self.leader = Leader(self.replica, self.ledger, loop, self.port_to, LEASE_MS)
            await self.fill_ledger(worker_count)
            try:
                await scenario()
            finally:
                await self.leader.close()

        run_virtual(main)

    async def fill_ledger(self, worker_count):
        """Record the workers, and runs on the last `RUNS` of them."""
        await self.propose(commands.PutManifest(manifest()))
        for number in range(worker_count):
            await self.propose(commands.NoteWorker(worker(f"w{number}")))
        await self.propose(job_command("j", StepSpec(RUNS, SUBTASK_RESOURCES)))
        starts = (
            start_of("j", f"0.0.{number}", on=f"w{worker_count - 1 - number}")
            for number in range(RUNS)
        )
        await self.propose(commands.StartRuns(tuple(starts)))

    async def propose(self, command):
        await self.replica.propose(commands.encode(command))

    def port_to(self, incarnation):
        port = self.ports[incarnation.id] = CountedWorker(self.loop, incarnation.born)
        port.on_poll = lambda change: self.count(incarnation.id, change)
        return port

    def count(self, id, change):
        if change > 0:
            self.polled.append(id)
        self.polls_in_flight += change
        self.most_in_flight = max(self.most_in_flight, self.polls_in_flight)

    async def until_known(self):
        while not self.leader.knows_all_workers():
            await asyncio.sleep(0.001)

    def now_ms(self):
        return round(self.loop.time() * MS_PER_S)


class CountedWorker(ModelWorker):
    """A worker that reports when a poll of it begins (1) and ends (-1)."""

    async def poll(self, order, timeout_ms):
        self.on_poll(1)
        try:
            if self.is_unreachable:
                await asyncio.sleep(timeout_ms / MS_PER_S)
            return await super().poll(order, timeout_ms)
        finally:
            self.on_poll(-1)


class TakeoverTests(ManyWorkersCase):
    """A new leader once polled all workers at the same time.

    With 3,000 workers that held its loop for longer than its lease, so that it lost the leadership,
    and the next leader did the same; no manifest could be read.
    """

    def test_the_first_polls_of_many_workers_are_bounded(self):
        async def scenario():
            self.replica.lead()
            await self.until_known()
            self.assertEqual(MAX_CONTACT_POLLS, self.most_in_flight)
            self.assertEqual(MANY_WORKERS, len(set(self.polled)))

        self.check(scenario, MANY_WORKERS)

    def test_workers_with_runs_are_polled_first(self):
        async def scenario():
            self.replica.lead()
            await self.until_known()
            expected = {f"w{MANY_WORKERS - 1 - number}" for number in range(RUNS)}
            self.assertEqual(expected, set(self.polled[:RUNS]))

        self.check(scenario, MANY_WORKERS)

    def test_the_first_answers_of_a_small_fleet_are_waited_for_as_before(self):
        async def scenario():
            began_ms = self.now_ms()
            self.replica.lead()
            await self.until_known()
            self.assertEqual(MOST_WORKERS_WITHOUT_WAIT, self.most_in_flight)
            self.assertLessEqual(self.now_ms() - began_ms, 2 * ANSWER_MS)

        self.check(scenario, MOST_WORKERS_WITHOUT_WAIT)

    def test_silent_workers_delay_the_answers_of_the_others_by_few_timeouts(self):
        silent_count = MANY_WORKERS // 3

        async def scenario():
            began_ms = self.now_ms()
            self.replica.lead()
            for number in range(silent_count):
                self.ports[f"w{number}"].is_unreachable = True
            answering = [
                self.leader._sessions.by_id[f"w{n}"] for n in range(silent_count, MANY_WORKERS)
            ]
            while not all(session.is_known for session in answering):
                await asyncio.sleep(0.001)
            rounds = silent_count // MAX_CONTACT_POLLS + 1
            bound_ms = rounds * POLL_TIMEOUT_MARGIN_MS + TAKEOVER_WAIT_MS
            self.assertLess(self.now_ms() - began_ms, bound_ms)

        self.check(scenario, MANY_WORKERS)


class LostLeadershipTests(ManyWorkersCase):
    def test_a_poll_that_waited_is_not_sent_once_this_host_no_longer_leads(self):
        async def scenario():
            self.replica.lead()
            await asyncio.sleep(0.001)
            self.replica.is_leader = False
            polled = len(self.polled)
            await asyncio.sleep(1)
            self.assertEqual(polled, len(self.polled))

        self.check(scenario, MANY_WORKERS)
