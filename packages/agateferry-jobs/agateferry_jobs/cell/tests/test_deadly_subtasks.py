import testtools

from agateferry_core.support import run_virtual
from agateferry_jobs.ledger import JobState
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.support.crashing_fleet import CrashingFleet

SMALL = Resources(cpu=1000, mem_mb=100, gpu=1)
SINGLE = JobSpec("payload", (StepSpec(1, SMALL, estimated_ms=1000),))
DEADLY = "d" * 16
RUNS_AFTER_THIRD_CRASH = 2
"""The platform breaks its rule at the third start after three workers have crashed."""


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
