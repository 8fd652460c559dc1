import asyncio

from agateferry_jobs.calls import messages
from agateferry_jobs.cell.tests.test_leader import ID, JOB, LeaderCase, target
from agateferry_jobs.ledger import WorkerState, commands
from agateferry_jobs.ledger.commands import LossCause, RunOutcome
from agateferry_jobs.support import worker


class LossCauseTests(LeaderCase):
    """The end of a lost run says whether its worker crashed, left, or was only silent."""

    async def start_job(self):
        """Start a job on w1 and collect the ends of runs from now on."""
        self.ends = []
        apply = self.ledger.apply

        def recording(index, command):
            decoded = commands.decode(command)
            if isinstance(decoded, commands.EndRuns):
                self.ends += decoded.ends
            return apply(index, command)

        self.ledger.apply = recording
        await self.heartbeat(worker("w1"))
        await self.call(messages.Submit(target(), JOB))
        await self.running_on("w1")

    async def lost_by(self):
        await self.until(lambda: self.ends, "the run ended")
        self.assertEqual(RunOutcome.LOST, self.ends[0].outcome)
        return self.ends[0].loss

    def test_a_worker_that_starts_again_under_its_id_has_crashed(self):
        async def scenario():
            await self.start_job()
            await self.heartbeat(worker("w1", born=2))
            self.assertEqual(LossCause.CRASHED, await self.lost_by())

        self.check(scenario)

    def test_a_worker_whose_address_another_one_takes_has_crashed(self):
        async def scenario():
            await self.start_job()
            successor = worker("w2", born=2)
            successor.address = "w1:80"
            await self.heartbeat(successor)
            self.assertEqual(LossCause.CRASHED, await self.lost_by())
            self.assertNotIn("w1", self.ledger.workers)

        self.check(scenario)

    def test_a_worker_at_whose_address_another_one_answers_has_crashed(self):
        async def scenario():
            await self.start_job()
            self.ports["w1"].is_replaced = True
            self.assertEqual(LossCause.CRASHED, await self.lost_by())

        self.check(scenario)

    def test_a_draining_worker_that_is_replaced_has_left(self):
        async def scenario():
            await self.start_job()
            await self.heartbeat(worker("w1", state=WorkerState.DRAINING), sequence=2)
            await self.heartbeat(worker("w1", born=2))
            self.assertEqual(LossCause.LEFT, await self.lost_by())

        self.check(scenario)

    def test_a_worker_that_deregisters_has_left(self):
        async def scenario():
            await self.start_job()
            await self.heartbeat(worker("w1", state=WorkerState.DRAINING), sequence=2)
            self.ports["w1"].is_unreachable = True
            await self.call(messages.Deregister("w1"))
            self.assertEqual(LossCause.LEFT, await self.lost_by())

        self.check(scenario)

    def test_a_silent_worker_has_not_crashed(self):
        async def scenario():
            await self.start_job()
            self.ports["w1"].is_unreachable = True
            self.assertEqual(LossCause.SILENT, await self.lost_by())

        self.check(scenario, lease_ms=500)

    def test_a_run_that_its_worker_no_longer_lists_is_unlisted(self):
        async def scenario():
            await self.start_job()
            await asyncio.sleep(0.1)
            self.ports["w1"].running.pop((ID, "0.0.0"))
            self.assertEqual(LossCause.UNLISTED, await self.lost_by())

        self.check(scenario)
