import testtools

from agateferry_core.support import run_virtual
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.support.crashing_fleet import CrashingFleet

JOB = "a" * 16
STEP = StepSpec(1, Resources(cpu=1000, mem_mb=100, gpu=1))
DUE_MS = 3_000


class FailingTickTests(testtools.TestCase):
    """An error in one of the periodic checks stopped all that only time makes due."""

    def test_a_job_that_becomes_due_starts_while_a_check_fails(self):
        async def main(loop):
            fleet = CrashingFleet(loop, machines=2)

            def fail():
                raise ValueError("unexpected")

            fleet.leader._stops.stop_hung = fail

            async def scenario():
                spec = JobSpec("payload", (STEP,), start_at_ms=DUE_MS, repeat_count=1)
                await fleet.submit(JOB, spec)
                await fleet.sleep_ms(DUE_MS + 1_000)
                self.assertEqual(1, len(fleet.starts[JOB, "0.0.0"]))

            await fleet.run(scenario)

        run_virtual(main)
