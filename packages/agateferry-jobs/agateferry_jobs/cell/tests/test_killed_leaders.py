"""A leader that is killed beside workers that crash and start again within a second.

Users saw runs on such a worker beside runs of the same subtasks on others; the new leader had
ordered both. Everything runs in virtual time, and the workers' side is judged.
"""

import asyncio
import random
from dataclasses import dataclass

import testtools

from agateferry_core.support import run_virtual
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.cell.tests.test_restarted_workers import BootClock, CurrentIncarnation
from agateferry_jobs.ledger import Ledger
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.support import MemoryReplica, ModelWorker, manifest, worker
from agateferry_jobs.workers.port import Confirmed

SEEDS = range(1, 13)
WORKERS = 12
LEASE_MS = 8_000
HEARTBEAT_S = 1.5
DOWN_S = 0.5
"""How long a worker is down until it starts again."""
TAKEOVER_S = 0.5
"""How long there is no leader."""
FAULTS_S = 12.0
"""For how long leaders are killed and workers crash."""
DEADLINE_S = 60.0
NEED = Resources(cpu=1000, mem_mb=100, gpu=1)
JOB = JobSpec("payload", (StepSpec(12, NEED), StepSpec(30, NEED, depends_on=(0,))))


@dataclass
class ObservedRun:
    """One run as its worker knows it."""

    key: tuple[str, str]
    number: int
    worker: str
    began_ms: int
    ended_ms: int | None = None
    outcome: str = ""
    is_noted: bool = False
    """Whether the leader has acknowledged the end."""


class KilledLeaderScenario:
    """Jobs of two wide steps on workers that flap, while leaders are killed."""

    def __init__(self, loop, seed):
        self.loop = loop
        self.rng = random.Random(seed)
        self.ledger = Ledger()
        self.replica = MemoryReplica(self.ledger)
        self.workers = {}
        self.incarnations = {}
        self.down = set()
        self.runs = []
        self.violations = []
        self.tasks = []
        for number in range(WORKERS):
            self.boot(f"i-{number}", born=number + 1, uptime_ms=60_000)
        self.leader = Leader(self.replica, self.ledger, loop, self.port_to, LEASE_MS)

    def port_to(self, incarnation):
        return CurrentIncarnation(lambda: self.workers[incarnation.id])

    def boot(self, id, born, uptime_ms=0):
        port = ModelWorker(BootClock(self.loop, uptime_ms), born, max_lease_ms=LEASE_MS)
        execute, end, poll = port.execute, port.end, port.poll

        def observed_execute(order):
            before = len(port.starts)
            answer = execute(order)
            if isinstance(answer, Confirmed) and len(port.starts) > before:
                self.on_start(port, id, order)
            return answer

        def observed_end(key, outcome, checkpoint=""):
            self.on_end(id, key, port.running[key], outcome)
            end(key, outcome, checkpoint)

        async def observed_poll(order, timeout_ms):
            listed = list(port.ends)
            answer = await poll(order, timeout_ms)
            for each in listed:
                if each not in port.ends:
                    self.on_noted(id, each.key, each.run)
            return answer

        port.execute, port.end, port.poll = observed_execute, observed_end, observed_poll
        self.workers[id] = port
        self.incarnations[id] = worker(id, born=born)

    def on_start(self, port, id, order):
        now_ms = self.loop.now_ms()
        for other in self.runs:
            if other.key == order.key and other.ended_ms is None:
                self.violations.append(f"{order.key} run {order.run} on {id} while {other}")
        self.runs.append(ObservedRun(order.key, order.run, id, now_ms))
        work_s = self.rng.uniform(0.5, 2.5)
        self.loop.call_later(work_s, self.finish, port, order.key, order.run)

    def on_end(self, id, key, number, outcome):
        for run in self.runs:
            if (run.key, run.number, run.worker) == (key, number, id) and run.ended_ms is None:
                run.ended_ms, run.outcome = self.loop.now_ms(), outcome

    def on_noted(self, id, key, number):
        for run in self.runs:
            if (run.key, run.number, run.worker) == (key, number, id) and run.outcome == "done":
                run.is_noted = True

    def check_starts_after_ends(self):
        """Find starts after a run that ended as done, if that end was noted then or later."""
        for run in self.runs:
            for later in self.runs if run.is_noted else ():
                if later.key == run.key and later.began_ms > run.ended_ms:
                    self.violations.append(f"{later} after {run}")

    def finish(self, port, key, number):
        if not port.is_unreachable and port.running.get(key) == number:
            port.end(key, "done")

    async def run(self):
        self.replica.lead()
        await self.leader.handle(messages.InstallManifest(manifest()))
        self.tasks = [asyncio.create_task(self.report(id)) for id in self.workers]
        await asyncio.sleep(0.2)
        try:
            await self.cause_faults()
            await self.finish_all()
            self.check_starts_after_ends()
        finally:
            for task in self.tasks:
                task.cancel()
            await self.leader.close()

    async def cause_faults(self):
        end_s = self.loop.time() + FAULTS_S
        number = 0
        while self.loop.time() < end_s:
            target = messages.CallTarget("host", f"/jobs/{number:016x}", "key")
            await self.leader.handle(messages.Submit(target, JOB))
            number += 1
            for _ in range(self.rng.randrange(3)):
                await self.flap()
            if self.rng.random() < 0.3:
                await self.kill_leader()
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))

    async def flap(self):
        id = self.rng.choice(sorted(self.workers.keys() - self.down))
        port = self.workers[id]
        port.is_unreachable = True
        for key, number in list(port.running.items()):
            self.on_end(id, key, number, "crashed")
        port.running.clear()
        self.down.add(id)
        self.loop.call_later(DOWN_S, self.restart, id, port.born + WORKERS)

    def restart(self, id, born):
        self.boot(id, born)
        self.down.discard(id)

    async def kill_leader(self):
        self.replica.lead(False)
        await asyncio.sleep(TAKEOVER_S)
        self.ledger.restore(self.ledger.snapshot())
        self.replica.lead()

    async def report(self, id):
        """Report about every 1.5 s; a worker that has started again waits for its turn."""
        await asyncio.sleep(self.rng.uniform(0.0, 0.1))
        while True:
            if id not in self.down and self.replica.is_leader:
                clock_ms = self.workers[id].clock.now_ms()
                call = messages.Heartbeat(self.incarnations[id], self.loop.now_ms(), clock_ms)
                await self.leader.handle(call)
            await asyncio.sleep(HEARTBEAT_S * self.rng.uniform(0.9, 1.1))

    async def finish_all(self):
        end_s = self.loop.time() + DEADLINE_S
        while not all(job.is_over for job in self.ledger.jobs.values()):
            if self.loop.time() > end_s:
                self.violations.append("a job did not end in time")
                return
            await asyncio.sleep(0.2)


def violations(seed):
    """Play a seed and return what broke a rule."""
    found = []

    async def main(loop):
        scenario = KilledLeaderScenario(loop, seed)
        await scenario.run()
        found.extend(scenario.violations)

    run_virtual(main)
    return found


class KilledLeaderTests(testtools.TestCase):
    """Subtasks ran on a worker that had started again and on another one at the same time."""

    def test_no_subtask_runs_twice_while_leaders_are_killed_and_workers_flap(self):
        for seed in SEEDS:
            self.assertEqual([], violations(seed), f"seed {seed}")
