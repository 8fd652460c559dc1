"""No start brings a worker over its capacity, however that moves and whatever happens to orders.

The faults are those of `test_invariants`; besides, workers shrink and grow, and stops take a while.
A capacity that has shrunk counts from `GRACE_MS` on, as on the platform.
"""

import asyncio
from unittest import mock

import testtools

from agateferry_core.support import run_virtual
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.cell.tests.test_invariants import (
    HALF_WORKER,
    LEASE_MS,
    FaultScenario,
    InvariantError,
)
from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.planning.worker_allocation import WorkerAllocation
from agateferry_jobs.support import ModelWorker, worker
from agateferry_jobs.workers.port import Confirmed
from agateferry_jobs.workers.report_age import ReportAge
from agateferry_state.replication import LeaderContact

SEEDS = range(1, 31)
CONTACT_MS = 3_000
HEARTBEAT_MS = 1_500
GRACE_MS = CONTACT_MS + HEARTBEAT_MS
MAX_REPORT_AGE_MS = 3_000
STOP_MS = 400
SIZES = (0, 4, 4, 8, 8, 8)
"""The accelerators that a worker may have; its runs need four each."""


class SlowStopWorker(ModelWorker):
    """A worker whose stops take `STOP_MS`; what is being stopped still holds its resources."""

    async def stop(self, order, timeout_ms):
        if self.is_unreachable or order.token < self.token:
            return await super().stop(order, timeout_ms)
        self.token = order.token
        self.ended_runs[order.key] = max(order.run, self.ended_runs.get(order.key, 0))
        asyncio.get_running_loop().call_later(STOP_MS / 1000, self.finish_stop, order)
        return Confirmed(self.clock.now_ms())

    def finish_stop(self, order):
        if self.running.get(order.key) == order.run:
            self.end(order.key, "stopped")


class ShrinkingScenario(FaultScenario):
    """Workers whose capacity moves; each start is checked against what counted at that time."""

    def __init__(self, loop, seed):
        super().__init__(loop, seed)
        self.sizes = {id: [(0, 8)] for id in self.incarnations}
        self.late_keys = set()
        self.overfull = ""
        self.led_since_ms = 0

    def new_leader(self):
        return Leader(
            self.replica, self.ledger, self.clock, self.port_to, LEASE_MS, MAX_REPORT_AGE_MS
        )

    def new_port(self, born):
        port = SlowStopWorker(self.clock, born)
        execute = port.execute

        def checked(order):
            before = len(port.starts)
            answer = execute(order)
            if len(port.starts) > before:
                self.check_start(port, order)
            return answer

        port.execute = checked
        return port

    def check_start(self, port, order):
        id = next((id for id, each in self.ports.items() if each is port), None)
        if id is None or order in port.delayed_orders or order.key in self.late_keys:
            return
        used = len(port.running) * HALF_WORKER.gpu
        if used > self.counted_size(id):
            self.overfull = f"{order.key} on {id}: {used} of {self.counted_size(id)} in use"

    def counted_size(self, id):
        """Return the largest capacity within the time in which a smaller one doesn't count yet."""
        now_ms = self.clock.now_ms()
        sizes = self.sizes[id]
        recent = [size for at_ms, size in sizes if at_ms >= now_ms - GRACE_MS]
        earlier = [size for at_ms, size in sizes if at_ms < now_ms - GRACE_MS]
        return max(recent + earlier[-1:])

    async def execute_late_order(self):
        port = self.any_port()
        self.late_keys |= {order.key for order in port.delayed_orders}
        await super().execute_late_order()

    def faults(self):
        return (*super().faults(), *[self.resize] * 4)

    async def resize(self):
        id = self.rng.choice(sorted(self.ports))
        size = self.rng.choice(SIZES)
        incarnation = worker(id, born=self.ports[id].born)
        incarnation.capacity = Resources(cpu=16_000, mem_mb=10_000, gpu=size)
        self.incarnations[id] = incarnation
        self.sizes[id].append((self.clock.now_ms(), size))

    async def restart_worker(self):
        await super().restart_worker()
        for id, incarnation in self.incarnations.items():
            self.sizes[id].append((self.clock.now_ms(), incarnation.capacity.gpu))

    async def change_leader(self):
        led = LeaderContact(self.replica.term, self.led_since_ms, self.clock.now_ms())
        self.replica.lead(False)
        await asyncio.sleep(self.rng.choice((0.2, 0.7, 5.0)))
        self.replica.leader_contact = self.rng.choice((led, None))
        self.led_since_ms = self.clock.now_ms()
        self.replica.lead()

    async def finish_all_jobs(self):
        for id in self.incarnations:
            self.incarnations[id] = worker(id, born=self.ports[id].born)
            self.sizes[id].append((self.clock.now_ms(), 8))
        await super().finish_all_jobs()

    def check(self):
        self.check_single_run()
        if self.overfull:
            raise InvariantError(self.overfull)
        if self.restarted_key:
            raise InvariantError(f"{self.restarted_key} started after it was done")


def first_failing(seeds=SEEDS):
    """Return the first seed at which an invariant is violated, with the violation, or None."""
    for seed in seeds:
        try:
            run_virtual(lambda loop, seed=seed: ShrinkingScenario(loop, seed).run())
        except InvariantError as exc:
            return seed, str(exc)
    return None


class ShrinkingTests(testtools.TestCase):
    def test_no_start_goes_over_a_capacity_that_counts(self):
        self.assertIsNone(first_failing())


class PlantedFaultTests(testtools.TestCase):
    def assert_found(self, target, name, fault):
        with mock.patch.object(target, name, fault):
            self.assertIsNotNone(first_failing(), "the planted fault was not found")

    def test_a_report_of_any_age_is_good_enough(self):
        self.assert_found(ReportAge, "is_recent", lambda reports, now_ms: True)

    def test_a_stopping_run_does_not_count(self):
        add_runs = WorkerAllocation.add_runs

        def without_stopping(allocation, runs):
            add_runs(allocation, [run for run in runs if not run.is_stopping])

        self.assert_found(WorkerAllocation, "add_runs", without_stopping)

    def test_reports_change_nothing(self):
        on_heartbeat = Leader.handle

        async def ignoring(leader, call):
            known = None
            if isinstance(call, messages.Heartbeat):
                known = leader._ledger.workers.get(call.worker.id)
            if known is not None and known.born == call.worker.born:
                call = messages.Heartbeat(known, call.sequence)
            return await on_heartbeat(leader, call)

        self.assert_found(Leader, "handle", ignoring)
