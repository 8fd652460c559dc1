"""Runs whose progress shows seldom, on sound workers and on workers where it stands still."""

import asyncio

import testtools

from agateferry_core.clock import MS_PER_S
from agateferry_core.support import run_virtual
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.cell.run_stops import MAX_HUNG_STOPS
from agateferry_jobs.ledger import Ledger, Run
from agateferry_jobs.ledger.specs import JobSpec, StepSpec
from agateferry_jobs.support import MemoryReplica, ModelWorker, manifest, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES
from agateferry_jobs.workers.tracked_run import NO_PROGRESS_TIMEOUT_MS, Phase, TrackedRun

ID = "5c0e7a21d94b36f8"
KEY = (ID, "0.0.0")
LEASE_MS = 8_000
HEARTBEAT_S = 1.5
HOUR_MS = 3_600_000
REACTION_MS = 2_000
"""For the poll that shows the last progress, the next check and the stop."""


class SlowlyReportingWorker(ModelWorker):
    """Report the share of a run's work that is done in whole percents, or none on a hung worker."""

    work_ms = 1_000_000
    is_hung = False

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.began_ms = {}

    def progress_of(self, key):
        began_ms = self.began_ms.setdefault((key, self.running[key]), self.clock.now_ms())
        if self.is_hung:
            return 0.0
        return float(min(99, (self.clock.now_ms() - began_ms) * 100 // self.work_ms))

    async def poll(self, order, timeout_ms):
        for key in self.running:
            self.progress_percent = self.progress_of(key)
        return await super().poll(order, timeout_ms)


class LongRunTests(testtools.TestCase):
    """A run of over 400 s on a sound worker was stopped after 4 s and started anew, without end."""

    def check(self, scenario, estimated_ms, hung=(), work_ms=1_000_000):
        async def main(loop):
            self.loop = loop
            self.ledger = Ledger()
            self.ports = {}
            for id in ("w1", "w2", "w3"):
                port = self.ports[id] = SlowlyReportingWorker(loop, wait_step_ms=100)
                port.work_ms, port.is_hung = work_ms, id in hung
            self.replica = MemoryReplica(self.ledger)
            self.leader = Leader(
                self.replica, self.ledger, loop, lambda one: self.ports[one.id], LEASE_MS
            )
            self.replica.lead()
            await self.leader.handle(messages.InstallManifest(manifest()))
            reporting = asyncio.create_task(self.report())
            await asyncio.sleep(0.2)
            job = JobSpec("payload", (StepSpec(1, SUBTASK_RESOURCES, estimated_ms=estimated_ms),))
            target = messages.CallTarget("host", f"/jobs/{ID}", "key")
            await self.leader.handle(messages.Submit(target, job))
            try:
                await scenario()
            finally:
                reporting.cancel()
                await self.leader.close()

        run_virtual(main)

    async def report(self):
        while True:
            for id in self.ports:
                now_ms = self.loop.now_ms()
                await self.leader.handle(messages.Heartbeat(worker(id), now_ms, now_ms))
            await asyncio.sleep(HEARTBEAT_S)

    def starts(self):
        return sum(len(port.starts) for port in self.ports.values())

    async def after_ms(self, duration_ms):
        await asyncio.sleep(duration_ms / MS_PER_S)

    def test_a_sound_run_of_1000_s_is_left_at_work(self):
        async def scenario():
            await self.after_ms(900_000)
            self.assertEqual(1, self.starts())

        self.check(scenario, estimated_ms=1_000_000)

    def test_a_sound_run_that_takes_far_longer_than_declared_is_restarted_a_few_times(self):
        async def scenario():
            await self.after_ms(120_000)
            starts = self.starts()
            self.assertLess(starts, MAX_HUNG_STOPS)
            await self.after_ms(400_000)
            self.assertEqual(starts, self.starts())

        self.check(scenario, estimated_ms=2_000)

    def test_a_hung_run_of_1000_s_is_found_in_a_twentieth_of_its_duration(self):
        async def scenario():
            await self.after_ms(50_000 + REACTION_MS)
            self.assertGreater(self.starts(), 1)

        self.check(scenario, estimated_ms=1_000_000, hung=("w1", "w2", "w3"))

    def test_a_short_run_that_hangs_is_found_as_soon_as_before(self):
        async def scenario():
            await self.after_ms(NO_PROGRESS_TIMEOUT_MS + REACTION_MS)
            self.assertEqual(2, self.starts())

        self.check(scenario, estimated_ms=2_000, hung=("w1", "w2", "w3"))

    def test_a_subtask_whose_runs_hang_everywhere_is_left_at_work_in_the_end(self):
        async def scenario():
            for _ in range(30):
                await self.after_ms(10_000)
                self.ledger.restore(self.ledger.snapshot())
            self.assertEqual(1 + MAX_HUNG_STOPS, self.starts())
            (running,) = [each for each in self.ports.values() if each.running]
            self.assertEqual({KEY: 1 + MAX_HUNG_STOPS}, running.running)

        self.check(scenario, estimated_ms=2_000, hung=("w1", "w2", "w3"))


class ProgressTimeoutTests(testtools.TestCase):
    def hung_after_ms(self, expected_ms, reports, hung_stops=0):
        """Return how long after its last report of progress a run counts as hung, to 1 s."""
        tracked = TrackedRun(Run(1, "w1", 1), Phase.CONFIRMED, 0)
        for at_ms, percent in reports:
            self.assertFalse(tracked.is_hung(at_ms, expected_ms, hung_stops))
            tracked.record_progress(percent, at_ms)
        last_ms = reports[-1][0]
        for silent_ms in range(0, HOUR_MS, MS_PER_S):
            if tracked.is_hung(last_ms + silent_ms, expected_ms, hung_stops):
                return silent_ms
        raise AssertionError("not found in an hour")

    def test_eight_hours_in_whole_percents(self):
        step_ms = 8 * HOUR_MS // 100
        reports = [(number * step_ms, float(number)) for number in range(99)]
        self.assertEqual(5 * step_ms + MS_PER_S, self.hung_after_ms(8 * HOUR_MS, reports))

    def test_eight_hours_in_finer_steps(self):
        reports = [(number * 400, number * 400 * 100 / (8 * HOUR_MS)) for number in range(200)]
        self.assertEqual(
            NO_PROGRESS_TIMEOUT_MS + MS_PER_S, self.hung_after_ms(8 * HOUR_MS, reports)
        )

    def test_runs_of_some_seconds_have_four(self):
        for expected_ms in (0, 2_500, 9_500, 80_000):
            self.assertEqual(
                NO_PROGRESS_TIMEOUT_MS + MS_PER_S, self.hung_after_ms(expected_ms, [(0, 0.0)])
            )

    def test_the_limit_doubles_from_the_second_stop_on(self):
        found = [self.hung_after_ms(2_500, [(0, 0.0)], stops) for stops in range(5)]
        self.assertEqual([5_000, 5_000, 9_000, 17_000, 33_000], found)
