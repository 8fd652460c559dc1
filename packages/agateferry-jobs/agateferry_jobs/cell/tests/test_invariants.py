"""Invariants of runs and leases when workers lose orders or execute them late, twice or reordered.

Everything runs in virtual time from a seed. At each tick the invariants are checked against what
the workers really run. Faults planted in the code show that the checks find violations.
"""

import asyncio
import random
from unittest import mock

import testtools

from agateferry_core.support import run_virtual
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.ledger import Ledger
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.planning.worker_allocation import WorkerAllocation
from agateferry_jobs.support import MemoryReplica, ModelWorker, manifest, worker
from agateferry_jobs.support.builders import WORKER_CAPACITY
from agateferry_jobs.workers.lease import Lease
from agateferry_jobs.workers.session import WorkerSession
from agateferry_jobs.workers.tracked_run import Phase

SEEDS = range(1, 41)
PLANTED_SEEDS = range(1, 121)
"""Each planted fault shows in a few of these seeds."""
STEPS = 120
TICK_S = 0.02
HEARTBEAT_TICKS = 75
PROGRESS_STEP = 0.1
COMPLETION_TIMEOUT_S = 90
HALF_WORKER = Resources(cpu=1000, mem_mb=100, gpu=4)
SINGLE = JobSpec("payload", (StepSpec(2, HALF_WORKER),))
GANG = JobSpec("payload", (StepSpec(3, HALF_WORKER, is_gang=True),))
LEASE_MS = 3000


class InvariantError(Exception):
    """An invariant was violated."""


class FaultScenario:
    """Three workers and one leader, with random faults from a seed."""

    worker_ids: tuple[str, ...] = ("w0", "w1", "w2")
    steps = STEPS

    def __init__(self, loop, seed):
        self.clock = loop
        self.rng = random.Random(seed)
        self.ledger = Ledger()
        self.incarnations = {id: self.new_incarnation(id, 1) for id in self.worker_ids}
        self.ports = {id: self.new_port(1) for id in self.incarnations}
        self.executed_late_orders = []
        self.restarted_key = None
        self.ids = [f"{number:016x}" for number in range(8)]
        self.replica = MemoryReplica(self.ledger)
        self.leader = self.new_leader()

    def new_leader(self):
        return Leader(self.replica, self.ledger, self.clock, self.port_to, LEASE_MS)

    def new_incarnation(self, id, born):
        return worker(id, born=born)

    def new_port(self, born):
        port = ModelWorker(self.clock, born)
        execute = port.execute

        def checked(order):
            before = len(port.starts)
            answer = execute(order)
            if len(port.starts) > before and self.is_done(order.key):
                self.restarted_key = order.key
            return answer

        port.execute = checked
        return port

    def is_done(self, key):
        """Return whether the ledger has the subtask as done."""
        job = self.ledger.jobs.get(key[0])
        return job is not None and key[1] in job.subtasks and job.subtasks[key[1]].is_done

    def port_to(self, incarnation):
        port = self.ports[incarnation.id]
        if port.born != incarnation.born:
            port = self.new_port(incarnation.born)
            port.is_replaced = True
        return port

    async def run(self):
        self.replica.lead()
        await self.leader.handle(messages.InstallManifest(manifest()))
        ticking = asyncio.create_task(self.tick_forever())
        try:
            for step in range(self.steps):
                await asyncio.sleep(self.rng.uniform(0.02, 0.15))
                if step % 12 == 0:
                    await self.submit(self.ids[step // 12 % len(self.ids)])
                await self.rng.choice(self.faults())()
                if ticking.done():
                    break
            if not ticking.done():
                await self.finish_all_jobs()
        finally:
            is_violated = ticking.done()
            ticking.cancel()
            await self.leader.close()
            if is_violated:
                ticking.result()

    def faults(self):
        return (
            *[self.end_run] * 4,
            *[self.execute_late_order] * 2,
            self.lose_orders,
            self.repeat_order,
            self.disconnect_worker,
            self.reconnect_workers,
            self.restart_worker,
            self.change_leader,
        )

    async def submit(self, id):
        target = messages.CallTarget("host", f"/jobs/{id}", "key")
        await self.leader.handle(messages.Submit(target, self.rng.choice((SINGLE, GANG))))

    def any_port(self):
        return self.ports[self.rng.choice(sorted(self.ports))]

    async def end_run(self):
        port = self.any_port()
        if port.running:
            outcome = self.rng.choice(("done", "done", "failed"))
            key = self.rng.choice(sorted(port.running))
            port.end(key, outcome if outcome == "failed" or self.is_whole(key[0]) else "alone")

    def is_whole(self, job):
        """Return whether all members of a gang run; before that none can end as done."""
        accepted = self.ledger.jobs.get(job)
        if accepted is None or not accepted.spec.steps[0].is_gang:
            return True
        members = {key for port in self.ports.values() for key in port.running if key[0] == job}
        return len(members) == accepted.spec.steps[0].count

    async def lose_orders(self):
        self.any_port().orders_to_lose = self.rng.randint(1, 3)

    async def execute_late_order(self):
        port = self.any_port()
        if port.delayed_orders:
            order = port.delayed_orders.pop(self.rng.randrange(len(port.delayed_orders)))
            self.executed_late_orders.append((port, order))
            port.execute(order)

    async def repeat_order(self):
        if self.executed_late_orders:
            port, order = self.rng.choice(self.executed_late_orders)
            if port in self.ports.values():
                port.execute(order)

    async def disconnect_worker(self):
        self.any_port().is_unreachable = True

    async def reconnect_workers(self):
        for port in self.ports.values():
            port.is_unreachable = False

    async def restart_worker(self):
        id = self.rng.choice(sorted(self.ports))
        old = self.ports[id]
        old.is_replaced = True
        old.running.clear()
        self.incarnations[id] = self.new_incarnation(id, old.born + 1)
        self.ports[id] = self.new_port(old.born + 1)
        await self.leader.handle(messages.Heartbeat(self.incarnations[id], 1))

    async def change_leader(self):
        self.replica.lead(False)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        self.replica.lead()

    async def finish_all_jobs(self):
        """Clear all faults; every job must then end in time."""
        await self.reconnect_workers()
        for port in self.ports.values():
            port.orders_to_lose = 0
        end_s = self.clock.time() + COMPLETION_TIMEOUT_S
        while not all(job.is_over for job in self.ledger.jobs.values()):
            if self.clock.time() > end_s:
                raise InvariantError("a job did not end in time")
            await asyncio.sleep(0.2)
            await self.end_run()

    async def tick_forever(self):
        for tick in range(1_000_000):
            for port in self.ports.values():
                port.expire_lease()
                port.progress_percent = (port.progress_percent + PROGRESS_STEP) % 99
            self.check()
            if tick % HEARTBEAT_TICKS == 0:
                await self.heartbeat()
            await asyncio.sleep(TICK_S)

    async def heartbeat(self):
        for id, port in self.ports.items():
            if not port.is_unreachable and self.replica.is_leader:
                await self.leader.handle(
                    messages.Heartbeat(self.incarnations[id], self.clock.now_ms())
                )

    def check(self):
        self.check_single_run()
        self.check_capacity()
        if self.restarted_key:
            raise InvariantError(f"{self.restarted_key} started after it was done")

    def check_single_run(self):
        running = [key for port in self.ports.values() for key in port.running]
        for key in running:
            if running.count(key) > 1:
                raise InvariantError(f"{key} runs twice")

    def check_capacity(self):
        for port in self.ports.values():
            if len(port.running) * HALF_WORKER.gpu > WORKER_CAPACITY.gpu:
                raise InvariantError(f"runs exceed the worker's capacity: {sorted(port.running)}")


def run(seed):
    run_virtual(lambda loop: FaultScenario(loop, seed).run())


def first_failing_seed(seeds=SEEDS):
    """Return the first seed at which an invariant is violated, or None."""
    for seed in seeds:
        try:
            run(seed)
        except InvariantError:
            return seed
    return None


class InvariantTests(testtools.TestCase):
    def test_invariants_hold_whatever_happens_to_orders(self):
        for seed in SEEDS:
            try:
                run(seed)
            except InvariantError as exc:
                raise AssertionError(f"seed {seed}: {exc}") from exc


class PlantedFaultTests(testtools.TestCase):
    def assert_found(self, target, name, fault):
        with mock.patch.object(target, name, fault):
            found = first_failing_seed(PLANTED_SEEDS)
            self.assertIsNotNone(found, "the planted fault was not found")

    def test_a_lease_that_expires_too_early(self):
        self.assert_found(Lease, "is_expired", lambda lease, now_ms: True)

    def test_an_unanswered_order_that_is_not_fenced_off(self):
        def mark_uncertain(session, tracked):
            tracked.phase = Phase.UNCERTAIN
            tracked.phase_since_poll = session._poll_number
            session._wake.set()

        self.assert_found(WorkerSession, "_mark_uncertain", mark_uncertain)

    def test_resources_of_starting_and_stopping_runs_are_not_counted(self):
        def allocate(worker, job, subtask):
            worker.free_slots -= 1

        self.assert_found(WorkerAllocation, "allocate", allocate)
