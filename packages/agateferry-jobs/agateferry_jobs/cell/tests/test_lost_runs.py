import asyncio

import testtools

from agateferry_core.clock import MS_PER_S
from agateferry_core.support import run_virtual
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.support.crashing_fleet import LEASE_MS, CrashingFleet
from agateferry_jobs.workers.clock_bounds import max_local_ms

SINGLE = JobSpec("payload", (StepSpec(1, Resources(cpu=1000, mem_mb=100, gpu=1)),))
JOB = "a" * 16
COMMIT_MS = 400
"""How long a commit takes with a slow disk."""
SUBMIT_INTERVAL_MS = 50
MAX_DELAY_MS = 1_500
"""How long after its lease the job of a silent worker may wait, commits included."""


class LostRunTests(testtools.TestCase):
    """The job of a silent worker waited as long as one plan followed the other."""

    def check(self, scenario):
        async def main(loop):
            self.fleet = CrashingFleet(loop, machines=12)
            await self.fleet.run(scenario)

        run_virtual(main)

    def slow_down_commits(self):
        propose = self.fleet.replica.propose

        async def propose_slowly(command):
            await asyncio.sleep(COMMIT_MS / MS_PER_S)
            return await propose(command)

        self.fleet.replica.propose = propose_slowly

    async def submit_for(self, duration_ms):
        """Submit jobs at such a rate that there is always something to plan."""
        submissions = []
        for number in range(duration_ms // SUBMIT_INTERVAL_MS):
            call = self.fleet.submit(f"{number:016x}", SINGLE)
            submissions.append(asyncio.ensure_future(call))
            await self.fleet.sleep_ms(SUBMIT_INTERVAL_MS)
        await asyncio.gather(*submissions)

    def test_a_run_on_a_silent_worker_ends_in_time_while_plans_are_under_way(self):
        async def scenario():
            self.fleet.run_ms = 60_000
            await self.fleet.submit(JOB, SINGLE)
            await self.fleet.sleep_ms(500)
            self.fleet.run_ms = 200
            silent = next(each for each in self.fleet.machines if each.port.running)
            silent.port.is_unreachable = True
            self.slow_down_commits()
            await self.submit_for(max_local_ms(LEASE_MS) + MAX_DELAY_MS)
            self.assertEqual(2, len(self.fleet.starts[JOB, "0.0.0"]))

        self.check(scenario)
