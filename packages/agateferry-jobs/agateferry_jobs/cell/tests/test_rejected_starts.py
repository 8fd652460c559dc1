import testtools

from agateferry_core.support import run_virtual
from agateferry_jobs.ledger import JobState
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.support.crashing_fleet import CrashingFleet
from agateferry_jobs.workers.port import Rejected

SINGLE = JobSpec("payload", (StepSpec(1, Resources(cpu=1000, mem_mb=100, gpu=1)),))
GANG = JobSpec("payload", (StepSpec(5, Resources(1000, 100, 8), 1_000, is_gang=True),))
JOB = "a" * 16
MAX_IDLE_MS = 3_000
"""The platform allows a job that has room no longer without a run."""
MAX_STARTS_IN_10_S = 20
"""At the longest pause of 2 s about 9 starts fit into 10 s."""


class RejectedStartTests(testtools.TestCase):
    """A worker that rejects starts was asked 500 times a second, and no other one was tried."""

    def check(self, scenario, machines):
        async def main(loop):
            self.fleet = CrashingFleet(loop, machines)
            self.rejections = 0
            await self.fleet.run(scenario)

        run_virtual(main)

    def reject(self, machine, reason, job=None):
        """Let a worker reject the starts of a job, or all starts."""
        accept = machine.port.start

        async def start(order, timeout_ms):
            if job is not None and order.key[0] != job:
                return await accept(order, timeout_ms)
            await self.fleet.sleep_ms(2)
            self.rejections += 1
            return Rejected(reason)

        machine.port.start = start

    def test_work_goes_to_another_worker(self):
        for reason in ("429", "503", "room", "fence"):

            async def scenario(reason=reason):
                self.reject(self.fleet.machines[0], reason)
                await self.fleet.submit(JOB, SINGLE)
                await self.fleet.sleep_ms(3_000)
                self.assertEqual(JobState.COMPLETED, self.fleet.job(JOB).state, reason)

            self.check(scenario, machines=3)

    def test_many_rejecting_workers_do_not_hold_a_job_back(self):
        """A job waited without end beside free workers while four others rejected it in turn."""
        for rejecting in (4, 20):

            async def scenario(rejecting=rejecting):
                for machine in self.fleet.machines[:rejecting]:
                    self.reject(machine, "503")
                await self.fleet.submit(JOB, SINGLE)
                await self.fleet.sleep_ms(MAX_IDLE_MS)
                begun = self.fleet.starts[JOB, "0.0.0"]
                self.assertEqual(1, len(begun), f"{rejecting} rejecting workers")

            self.check(scenario, machines=2 * rejecting)

    def test_workers_that_leave_starts_unanswered_do_not_hold_work_back(self):
        """A job waited without end for one worker that answered polls but no start orders."""
        for spec in (SINGLE, GANG):
            count = spec.steps[0].count

            async def scenario(spec=spec, count=count):
                self.fleet.run_ms = 10_000
                for machine in self.fleet.machines[:3]:
                    machine.port.orders_to_lose = 1_000
                await self.fleet.submit(JOB, spec)
                await self.fleet.sleep_ms(MAX_IDLE_MS)
                running = sum(len(machine.port.running) for machine in self.fleet.machines)
                self.assertEqual(count, running)

            self.check(scenario, machines=12)

    def test_a_worker_that_goes_on_rejecting_is_asked_seldom(self):
        async def scenario():
            self.reject(self.fleet.machines[0], "503")
            await self.fleet.submit(JOB, SINGLE)
            await self.fleet.sleep_ms(10_000)
            self.assertLess(self.rejections, MAX_STARTS_IN_10_S)

        self.check(scenario, machines=1)

    def test_a_worker_that_accepts_again_gets_work_soon(self):
        async def scenario():
            accept = self.fleet.machines[0].port.start
            self.reject(self.fleet.machines[0], "503")
            await self.fleet.submit(JOB, SINGLE)
            await self.fleet.sleep_ms(6_000)
            self.fleet.machines[0].port.start = accept
            await self.fleet.sleep_ms(3_500)
            self.assertEqual(JobState.COMPLETED, self.fleet.job(JOB).state)

        self.check(scenario, machines=1)

    def test_a_job_that_all_workers_reject_takes_no_worker_from_others(self):
        async def scenario():
            for machine in self.fleet.machines:
                self.reject(machine, "400", job=JOB)
            await self.fleet.submit(JOB, SINGLE)
            for number in range(10):
                id = f"{number:016x}"
                await self.fleet.submit(id, SINGLE)
                await self.fleet.sleep_ms(1_000)
                self.assertIn(self.fleet.job(id).state, (JobState.RUNNING, JobState.COMPLETED))
            await self.fleet.sleep_ms(1_500)
            self.assertEqual(10, len(self.fleet.ids_in(JobState.COMPLETED)))
            self.assertLess(self.rejections, MAX_STARTS_IN_10_S)

        self.check(scenario, machines=2)
