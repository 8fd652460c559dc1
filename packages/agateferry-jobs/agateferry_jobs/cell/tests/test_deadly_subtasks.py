import testtools

from agateferry_core.support import run_virtual
from agateferry_jobs.ledger import JobState
from agateferry_jobs.ledger.crashes import MAX_CRASHES_OF_LASTING
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.planning.crash_suspects import MAX_PAUSE_MS
from agateferry_jobs.support.crashing_fleet import CrashingFleet

SMALL = Resources(cpu=1000, mem_mb=100, gpu=1)
WHOLE = Resources(cpu=1000, mem_mb=100, gpu=8)
SINGLE = JobSpec("payload", (StepSpec(1, SMALL, estimated_ms=1000),))
DEADLY = "d" * 16
RUNS_AFTER_THIRD_CRASH = 2
"""The platform breaks its rule at the third start after three workers have crashed."""


def deadly_id(number):
    return f"dead{number:012x}"


class DeadlyCase(testtools.TestCase):
    def check(self, scenario, **options):
        """Run a scenario in virtual time on a fleet."""

        async def main(loop):
            self.fleet = CrashingFleet(loop, **options)
            await self.fleet.run(scenario)

        run_virtual(main)

    async def submit_deadly(self, id=DEADLY, spec=SINGLE, deadly=("0.0.0",)):
        self.fleet.deadly |= {(id, name) for name in deadly}
        await self.fleet.submit(id, spec)

    def assert_given_up(self, id=DEADLY, name="0.0.0"):
        self.assertEqual(JobState.FAILED, self.fleet.job(id).state)
        after = self.fleet.starts_after_third_crash((id, name))
        self.assertLessEqual(after, RUNS_AFTER_THIRD_CRASH)


class StartBudgetTests(DeadlyCase):
    """A subtask that crashes each worker that starts it was started again without limit."""

    def test_a_subtask_that_crashes_its_workers_is_given_up(self):
        async def scenario():
            await self.submit_deadly()
            await self.fleet.sleep_ms(25_000)
            self.assert_given_up()

        self.check(scenario)

    def test_its_caller_is_told_why(self):
        async def scenario():
            await self.submit_deadly()
            await self.fleet.sleep_ms(25_000)
            status = await self.fleet.status(DEADLY)
            self.assertEqual(JobState.FAILED, status.state)
            self.assertIn("2 workers crashed under subtask 0.0.0", status.reason)

        self.check(scenario)

    def test_crashes_are_counted_across_a_change_of_leaders(self):
        async def scenario():
            await self.submit_deadly()
            for _ in range(8):
                await self.fleet.sleep_ms(2_800)
                await self.fleet.change_leader(away_ms=400)
            self.assert_given_up()

        self.check(scenario)

    def test_the_jobs_beside_it_are_done(self):
        """Those that were beside it were placed beside it again, so that four of 24 never ended."""

        async def scenario():
            await self.submit_deadly()
            others = [f"{number:016x}" for number in range(24)]
            for id in others:
                await self.fleet.submit(id, SINGLE)
            await self.fleet.sleep_ms(25_000)
            self.assert_given_up()
            self.assertEqual(others, self.fleet.ids_in(JobState.COMPLETED))

        self.check(scenario)


class BlastRadiusTests(DeadlyCase):
    """Those beside a deadly subtask were placed beside it again and lost with each worker."""

    def others(self, count, spec=SINGLE):
        return [(f"{number:016x}", spec) for number in range(count)]

    async def submit_all(self, jobs, prefix="jobs"):
        for id, spec in jobs:
            await self.fleet.submit(id, spec, prefix)

    def test_one_deadly_subtask_takes_its_neighbours_along_once(self):
        async def scenario():
            self.fleet.run_ms = 4_000
            others = self.others(24)
            await self.submit_all(others[:7])
            await self.submit_deadly()
            await self.submit_all(others[7:])
            await self.fleet.sleep_ms(40_000)
            self.assert_given_up()
            self.assertEqual([id for id, _ in others], self.fleet.ids_in(JobState.COMPLETED))
            self.assertLessEqual(self.fleet.runs_lost, 7)

        self.check(scenario)

    def test_a_class_of_deadly_jobs_leaves_the_fleet_working(self):
        async def scenario():
            others = self.others(60)
            for number in range(10):
                await self.submit_deadly(deadly_id(number))
                await self.submit_all(others[6 * number : 6 * number + 6])
                await self.fleet.sleep_ms(2_000)
            await self.fleet.sleep_ms(20_000)
            self.assertEqual([id for id, _ in others], self.fleet.ids_in(JobState.COMPLETED)[:60])
            for number in range(10):
                self.assert_given_up(deadly_id(number))

        self.check(scenario, machines=24)

    def test_new_jobs_of_a_class_of_deadly_ones_take_none_along(self):
        """Each first run of a deadly job took its neighbours along, however many came before."""

        async def scenario():
            self.fleet.run_ms = 3_000
            others = self.others(120)
            for number in range(20):
                await self.submit_all(others[6 * number : 6 * number + 6], "others")
                await self.submit_deadly(deadly_id(number))
                await self.fleet.sleep_ms(2_000)
                if number == 9:
                    lost_before = self.fleet.runs_lost
            await self.fleet.sleep_ms(20_000)
            self.assertEqual(lost_before, self.fleet.runs_lost)
            completed = self.fleet.ids_in(JobState.COMPLETED)
            self.assertEqual([id for id, _ in others], completed)

        self.check(scenario, machines=24)

    def test_a_gang_with_a_deadly_member_is_given_up(self):
        gang = JobSpec("payload", (StepSpec(3, WHOLE, is_gang=True),))

        async def scenario():
            await self.submit_deadly(spec=gang, deadly=("0.0.1",))
            await self.fleet.sleep_ms(25_000)
            self.assert_given_up(name="0.0.1")

        self.check(scenario)

    def test_a_gang_of_deadly_members_is_given_up(self):
        gang = JobSpec("payload", (StepSpec(3, WHOLE, is_gang=True),))
        names = ("0.0.0", "0.0.1", "0.0.2")

        async def scenario():
            await self.submit_deadly(spec=gang, deadly=names)
            await self.fleet.sleep_ms(30_000)
            for name in names:
                self.assert_given_up(name=name)

        self.check(scenario)

    def test_occurrences_of_a_deadly_step_end_with_the_first(self):
        repeated = JobSpec("payload", (StepSpec(1, SMALL),), 1_000, 500, repeat_count=40)
        names = [f"{number}.0.0" for number in range(40)]

        async def scenario():
            await self.submit_deadly(spec=repeated, deadly=names)
            await self.fleet.sleep_ms(25_000)
            self.assert_given_up()
            self.assertLess(sum(map(len, self.fleet.crashes.values())), 20)

        self.check(scenario)

    def test_a_cancelled_deadly_job_is_not_started_again(self):
        async def scenario():
            await self.submit_deadly()
            await self.fleet.sleep_ms(100)
            await self.fleet.cancel(DEADLY)
            await self.fleet.sleep_ms(10_000)
            self.assertEqual(1, len(self.fleet.starts[(DEADLY, "0.0.0")]))
            self.assertEqual(JobState.CANCELLED, self.fleet.job(DEADLY).state)

        self.check(scenario)

    def test_workers_that_stay_away_longer_than_their_lease(self):
        async def scenario():
            self.fleet.restart_ms = 12_000
            await self.submit_deadly()
            await self.fleet.sleep_ms(90_000)
            self.assert_given_up()

        self.check(scenario)


class LastingTests(DeadlyCase):
    """A job with a subtask that lasts was failed after two crashes of its workers."""

    LASTING = JobSpec("payload", (StepSpec(1, SMALL, is_long_running=True),))
    LASTING_WHOLE = JobSpec("payload", (StepSpec(1, WHOLE, is_long_running=True),))
    MAX_IDLE_MS = 9_000
    """The platform misses a subtask that lasts for 3 s from 6 s after its last run."""

    def assert_at_work(self, id=DEADLY):
        self.assertEqual(JobState.RUNNING, self.fleet.job(id).state)
        self.assertIsNotNone(self.fleet.job(id).subtasks["0.0.0"].active)

    def test_it_is_started_again_after_each_crash_of_its_worker(self):
        async def scenario():
            await self.fleet.submit(DEADLY, self.LASTING_WHOLE)
            for _ in range(6):
                await self.fleet.sleep_ms(2_500)
                machines = [m for m in self.fleet.machines if m.is_up and m.port.running]
                self.fleet.crash(machines)
                await self.fleet.sleep_ms(self.MAX_IDLE_MS)
                self.assert_at_work()

        self.check(scenario, machines=8)

    def test_a_deadly_one_starts_after_growing_pauses_that_have_a_bound(self):
        async def scenario():
            await self.submit_deadly(spec=self.LASTING)
            await self.fleet.sleep_ms(120_000)
            crashes = self.fleet.crashes[(DEADLY, "0.0.0")]
            starts = self.fleet.starts[(DEADLY, "0.0.0")]
            pauses = [begun - crash for begun, crash in zip(starts[1:], crashes, strict=False)]
            self.assertNotEqual(JobState.FAILED, self.fleet.job(DEADLY).state)
            self.assertLess(max(pauses), self.MAX_IDLE_MS)
            self.assertGreaterEqual(min(pauses[4:]), MAX_PAUSE_MS)

        self.check(scenario)

    def test_a_deadly_one_takes_its_neighbours_along_twice_at_most_and_fails_none(self):
        async def scenario():
            self.fleet.run_ms = 4_000
            others = [f"{number:016x}" for number in range(40)]
            for id in others[:7]:
                await self.fleet.submit(id, SINGLE)
            await self.submit_deadly(spec=self.LASTING)
            lost_by_crash = {}
            for id in others[7:]:
                await self.fleet.submit(id, SINGLE)
                await self.fleet.sleep_ms(1_000)
                lost_by_crash[len(self.fleet.crashes[(DEADLY, "0.0.0")])] = self.fleet.runs_lost
            await self.fleet.sleep_ms(20_000)
            self.assertEqual(others, self.fleet.ids_in(JobState.COMPLETED))
            self.assertGreater(len(lost_by_crash), 2)
            self.assertEqual(lost_by_crash[2], self.fleet.runs_lost)
            self.assertNotEqual(JobState.FAILED, self.fleet.job(DEADLY).state)

        self.check(scenario)

    def test_one_that_crashes_late_is_kept_apart_once_it_is_known(self):
        async def scenario():
            self.fleet.crash_delay_ms = 6_000
            self.fleet.run_ms = 3_000
            others = [f"{number:016x}" for number in range(120)]
            await self.submit_deadly(spec=self.LASTING)
            for number, id in enumerate(others):
                await self.fleet.submit(id, SINGLE)
                await self.fleet.sleep_ms(1_000)
                if number == len(others) // 2:
                    lost_before = self.fleet.runs_lost
            await self.fleet.sleep_ms(20_000)
            self.assertEqual(others, self.fleet.ids_in(JobState.COMPLETED))
            self.assertEqual(lost_before, self.fleet.runs_lost)

        self.check(scenario, machines=4)

    def test_the_record_of_its_crashes_has_a_bound(self):
        async def scenario():
            await self.submit_deadly(spec=self.LASTING)
            await self.fleet.sleep_ms(400_000)
            self.assertGreater(len(self.fleet.crashes[(DEADLY, "0.0.0")]), MAX_CRASHES_OF_LASTING)
            crashes = self.fleet.job(DEADLY).crashes["0.0.0"]
            self.assertEqual(MAX_CRASHES_OF_LASTING, len(crashes))

        self.check(scenario)


class InnocentTests(DeadlyCase):
    """Jobs that lost their workers by a failure of their own are not given up."""

    def whole_jobs(self, count):
        return [
            (f"{number:016x}", JobSpec("payload", (StepSpec(1, WHOLE),))) for number in range(count)
        ]

    def test_a_rack_that_loses_power_again_and_again_fails_no_job(self):
        async def scenario():
            self.fleet.run_ms = 6_000
            for id, spec in self.whole_jobs(8):
                await self.fleet.submit(id, spec)
            for _ in range(3):
                await self.fleet.sleep_ms(2_000)
                self.fleet.crash(self.fleet.machines[:8])
                await self.fleet.sleep_ms(3_000)
            await self.fleet.sleep_ms(40_000)
            self.assertEqual(8, len(self.fleet.ids_in(JobState.COMPLETED)))

        self.check(scenario, machines=8)

    def test_workers_that_are_only_silent_accuse_no_job(self):
        async def scenario():
            self.fleet.run_ms = 30_000
            await self.fleet.submit(DEADLY, SINGLE)
            for _ in range(6):
                await self.fleet.sleep_ms(1_000)
                machine = next(m for m in self.fleet.machines if m.port.running)
                machine.port.is_unreachable = True
                await self.fleet.sleep_ms(10_000)
                machine.port.running.clear()
                machine.port.is_unreachable = False
            await self.fleet.sleep_ms(40_000)
            self.assertEqual(JobState.COMPLETED, self.fleet.job(DEADLY).state)

        self.check(scenario)
