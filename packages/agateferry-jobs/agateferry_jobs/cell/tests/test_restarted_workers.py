"""Orders to a worker that has started again under its id and has not reported yet.

A worker that starts again answers at its address under the id that it had, and has seen no fencing
token. So the session with the earlier incarnation orders runs on the new one, and what it ordered
may have begun on either.
"""

import asyncio

import testtools

from agateferry_core.support import eventually, run_virtual
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.cell.tests.test_invariants import FaultScenario, InvariantError
from agateferry_jobs.ledger import Ledger
from agateferry_jobs.ledger.specs import JobSpec, StepSpec
from agateferry_jobs.support import MemoryReplica, ModelWorker, manifest, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES
from agateferry_jobs.workers.port import NoAnswer
from agateferry_jobs.workers.session import ORDER_TIMEOUT_MS

JOB = JobSpec("payload", (StepSpec(1, SUBTASK_RESOURCES),))
ID = "5c0e7a21d94b36f8"
KEY = (ID, "0.0.0")
LEASE_MS = 3_000
MAX_LEASE_MS = 4_000
HEARTBEAT_S = 0.5
FIRST_REPORT_S = 0.7
"""When a worker that started again reports for the first time."""
SEEDS = range(1, 9)


class BootClock:
    """The monotonic clock of one incarnation, which starts anew with it."""

    def __init__(self, loop, start_ms):
        self._loop = loop
        self._start_ms = loop.now_ms() - start_ms

    def now_ms(self):
        return self._loop.now_ms() - self._start_ms


class CurrentIncarnation:
    """Pass orders to whichever incarnation of a worker is up, as an address does."""

    def __init__(self, find):
        self._find = find

    async def start(self, order, timeout_ms):
        return await self._find().start(order, timeout_ms)

    async def stop(self, order, timeout_ms):
        return await self._find().stop(order, timeout_ms)

    async def poll(self, order, timeout_ms):
        return await self._find().poll(order, timeout_ms)

    async def release(self):
        pass

    async def close(self):
        pass


class RestartedWorkerTests(testtools.TestCase):
    """A subtask ran twice: its run on the new incarnation was taken for lost with the old one."""

    def check(self, scenario):
        async def main(loop):
            self.loop = loop
            self.ledger = Ledger()
            self.replica = MemoryReplica(self.ledger)
            self.most_runs = 0
            self.workers = {}
            self.incarnations = {}
            self.reporting = set()
            self.boot("w1", born=1, uptime_ms=60_000)
            self.leader = self.new_leader()
            self.replica.lead()
            await self.leader.handle(messages.InstallManifest(manifest()))
            tasks = [asyncio.create_task(each()) for each in (self.report, self.watch)]
            await asyncio.sleep(0.2)
            try:
                await scenario()
            finally:
                for task in tasks:
                    task.cancel()
                await self.leader.close()

        run_virtual(main)

    def new_leader(self):
        return Leader(
            self.replica, self.ledger, self.loop, self.port_to, LEASE_MS, max_lease_ms=MAX_LEASE_MS
        )

    def port_to(self, incarnation):
        return CurrentIncarnation(lambda: self.workers[incarnation.id])

    def boot(self, id, born, uptime_ms=0, reports=True):
        clock = BootClock(self.loop, uptime_ms)
        self.workers[id] = ModelWorker(clock, born, max_lease_ms=MAX_LEASE_MS)
        self.incarnations[id] = worker(id, born=born)
        self.reporting.discard(id)
        if reports:
            self.reporting.add(id)

    async def report(self):
        while True:
            for id in sorted(self.reporting):
                await self.heartbeat(id)
            await asyncio.sleep(HEARTBEAT_S)

    async def heartbeat(self, id):
        port = self.workers[id]
        call = messages.Heartbeat(self.incarnations[id], self.loop.now_ms(), port.clock.now_ms())
        await self.leader.handle(call)

    async def watch(self):
        while True:
            for port in self.workers.values():
                port.expire_lease()
            runs = sum(KEY in port.running for port in self.workers.values())
            self.most_runs = max(self.most_runs, runs)
            await asyncio.sleep(0.005)

    async def submit(self):
        target = messages.CallTarget("host", f"/jobs/{ID}", "key")
        await self.leader.handle(messages.Submit(target, JOB))

    async def start_on_the_new_incarnation(self):
        """Start `w1` again without a report, submit a job and add an idle worker."""
        self.boot("w1", born=2, reports=False)
        await self.submit()
        await eventually(lambda: KEY in self.workers["w1"].running, "the run on the new one")
        self.boot("w2", born=3, uptime_ms=60_000)
        await self.heartbeat("w2")

    async def finish(self):
        """End the run where it is; the job must then complete, after one run at a time."""

        def is_completed():
            for port in self.workers.values():
                if KEY in port.running and port.born != 2:
                    port.end(KEY, "done")
            return self.ledger.jobs[ID].is_completed

        await eventually(is_completed, "completed")
        self.assertEqual(1, self.most_runs)

    def test_a_run_that_the_new_incarnation_began_is_stopped_before_the_next_one(self):
        async def scenario():
            await self.start_on_the_new_incarnation()
            await asyncio.sleep(FIRST_REPORT_S)
            self.reporting.add("w1")
            await eventually(lambda: KEY not in self.workers["w1"].running, "stopped")
            await self.finish()

        self.check(scenario)

    def test_a_new_incarnation_that_never_reports_keeps_its_run_until_its_longest_lease(self):
        async def scenario():
            await self.start_on_the_new_incarnation()
            await asyncio.sleep((LEASE_MS + MAX_LEASE_MS) / 1_000)
            await self.finish()

        self.check(scenario)

    def test_a_new_incarnation_that_is_cut_off_keeps_its_run_until_its_longest_lease(self):
        async def scenario():
            await self.start_on_the_new_incarnation()
            self.workers["w1"].is_unreachable = True
            await asyncio.sleep((LEASE_MS + MAX_LEASE_MS) / 1_000)
            await self.finish()

        self.check(scenario)

    def test_a_run_that_is_done_on_the_new_incarnation_does_not_start_again(self):
        async def scenario():
            await self.start_on_the_new_incarnation()
            self.workers["w1"].end(KEY, "done")
            self.reporting.add("w1")
            await eventually(lambda: self.ledger.jobs[ID].is_completed, "completed")
            self.assertEqual([], self.workers["w2"].starts)

        self.check(scenario)

    def test_an_unanswered_order_that_reached_the_new_incarnation(self):
        async def scenario():
            execute = self.workers["w1"].execute
            self.boot("w1", born=2, reports=False)
            execute = self.workers["w1"].execute

            async def start(order, timeout_ms):
                execute(order)
                await asyncio.sleep(ORDER_TIMEOUT_MS / 1_000)
                return NoAnswer("lost")

            self.workers["w1"].start = start
            await self.submit()
            await eventually(lambda: KEY in self.workers["w1"].running, "executed")
            self.boot("w2", born=3, uptime_ms=60_000)
            await self.heartbeat("w2")
            await asyncio.sleep(FIRST_REPORT_S)
            self.reporting.add("w1")
            await self.finish()

        self.check(scenario)

    def test_an_unanswered_copy_of_an_order_that_is_carried_out_after_the_restart(self):
        """The second copy was confirmed and its run listed, so the run was lost at the restart."""

        async def scenario():
            self.workers["w1"].orders_to_lose = 1
            await self.submit()
            await eventually(lambda: KEY in self.workers["w1"].running, "the second copy's run")
            await asyncio.sleep(0.5)
            (copy,) = self.workers["w1"].delayed_orders
            self.workers["w1"].is_unreachable = True
            self.boot("w1", born=2, reports=False)
            self.boot("w2", born=3, uptime_ms=60_000)
            await self.heartbeat("w2")
            self.workers["w1"].execute(copy)
            await asyncio.sleep(FIRST_REPORT_S)
            self.reporting.add("w1")
            await self.finish()

        self.check(scenario)

    def test_a_new_leader_asks_the_new_incarnation_for_runs_ordered_by_the_one_before(self):
        async def scenario():
            await self.start_on_the_new_incarnation()
            self.replica.lead(False)
            await asyncio.sleep(0.4)
            self.replica.lead()
            self.reporting.add("w1")
            await self.finish()

        self.check(scenario)

    def test_a_run_that_the_old_incarnation_listed_is_lost_at_once(self):
        async def scenario():
            await self.submit()
            await eventually(lambda: KEY in self.workers["w1"].running, "start")
            await asyncio.sleep(0.5)
            self.workers["w1"].is_unreachable = True
            self.boot("w2", born=3, uptime_ms=60_000)
            await self.heartbeat("w2")
            self.boot("w1", born=2)
            await self.heartbeat("w1")
            await asyncio.sleep(0.4)
            self.assertEqual(2, self.ledger.jobs[ID].subtasks["0.0.0"].last_run)

        self.check(scenario)


class RestartScenario(FaultScenario):
    """Workers that start again under their ids report later, and get orders before that."""

    worker_ids = tuple(f"w{number}" for number in range(6))
    steps = 200

    def __init__(self, loop, seed):
        super().__init__(loop, seed)
        self.ids = [f"{number:016x}" for number in range(60)]
        self.unsent = self.ids[20:]
        self.silent = set()

    def new_leader(self):
        return Leader(
            self.replica, self.ledger, self.clock, self.port_to, LEASE_MS, max_lease_ms=LEASE_MS
        )

    def new_port(self, born):
        port = super().new_port(born)
        port.clock = BootClock(self.clock, self.rng.randint(1, 30_000) if born == 1 else 0)
        port.max_lease_ms = LEASE_MS
        return port

    def port_to(self, incarnation):
        return CurrentIncarnation(lambda: self.ports[incarnation.id])

    def faults(self):
        return (*super().faults(), *[self.submit_next] * 3, *[self.restart_worker] * 2)

    async def submit_next(self):
        if self.unsent:
            await self.submit(self.unsent.pop())

    async def restart_worker(self):
        id = self.rng.choice(sorted(self.ports))
        old = self.ports[id]
        old.running.clear()
        old.is_unreachable = True
        self.incarnations[id] = self.new_incarnation(id, old.born + 1)
        self.ports[id] = self.new_port(old.born + 1)
        self.silent.add(id)
        self.clock.call_later(self.rng.uniform(0.0, 1.5), self.silent.discard, id)

    async def heartbeat(self):
        for id, port in self.ports.items():
            if id not in self.silent and not port.is_unreachable and self.replica.is_leader:
                call = messages.Heartbeat(
                    self.incarnations[id], self.clock.now_ms(), port.clock.now_ms()
                )
                await self.leader.handle(call)


class RestartInvariantTests(testtools.TestCase):
    def test_invariants_hold_while_workers_start_again_and_leaders_change(self):
        for seed in SEEDS:
            try:
                run_virtual(lambda loop, seed=seed: RestartScenario(loop, seed).run())
            except InvariantError as exc:
                raise AssertionError(f"seed {seed}: {exc}") from exc
