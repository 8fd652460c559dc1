import asyncio

from agateferry_jobs.calls import messages
from agateferry_jobs.cell.tests.test_leader import ID, JOB, LeaderCase, target
from agateferry_jobs.ledger import WorkerState
from agateferry_jobs.support import worker


class DeregistrationTests(LeaderCase):
    """A call to deregister may arrive late or twice, after the worker has started again."""

    async def start_job_on(self, incarnation):
        await self.heartbeat(incarnation)
        await self.call(messages.Submit(target(), JOB))
        await self.running_on(incarnation.id)

    def test_a_late_call_of_an_earlier_incarnation_leaves_the_new_one_in_use(self):
        async def scenario():
            await self.start_job_on(worker("w1", born=2))
            self.assertEqual(messages.Done(), await self.call(messages.Deregister("w1")))
            await asyncio.sleep(1.5)
            self.assertEqual(2, self.ledger.workers["w1"].born)
            self.assertIsNotNone(self.ledger.jobs[ID].subtasks["0.0.0"].active)
            self.assertEqual(1, len(self.ports["w1"].starts))

        self.check(scenario)

    def test_a_worker_that_leaves_without_having_drained_is_removed_once_it_is_silent(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            await self.call(messages.Deregister("w1"))
            self.ports["w1"].is_unreachable = True
            await self.until(lambda: "w1" not in self.ledger.workers, "removed")

        self.check(scenario)

    def test_runs_of_a_silent_worker_go_on_until_its_lease_has_expired(self):
        """A late call of an earlier incarnation ended the runs of one that was cut off."""

        async def scenario():
            await self.start_job_on(worker("w1"))
            await asyncio.sleep(0.5)
            await self.call(messages.Deregister("w1"))
            port = self.ports["w1"]
            port.is_unreachable = True
            subtask = self.ledger.jobs[ID].subtasks["0.0.0"]
            while subtask.active is not None:
                self.assertLess(port.clock.now_ms(), port.deadline_ms + 5_000)
                await asyncio.sleep(0.01)
            self.assertGreater(port.clock.now_ms(), port.deadline_ms)
            await self.until(lambda: "w1" not in self.ledger.workers, "removed")

        self.check(scenario)

    def test_a_draining_worker_that_no_longer_answers_is_removed_at_once(self):
        async def scenario():
            await self.start_job_on(worker("w1"))
            await self.heartbeat(worker("w1", state=WorkerState.DRAINING), sequence=2)
            self.ports["w1"].is_unreachable = True
            await self.call(messages.Deregister("w1"))
            self.assertEqual({}, self.ledger.workers)

        self.check(scenario)

    def test_a_draining_worker_that_answers_keeps_its_run_until_it_ends(self):
        """A call of another writer, or a late one, started the run again beside the first one."""

        async def scenario():
            await self.start_job_on(worker("w1"))
            await self.heartbeat(worker("w1", state=WorkerState.DRAINING), sequence=2)
            self.assertEqual(messages.Done(), await self.call(messages.Deregister("w1")))
            await asyncio.sleep(0.5)
            subtask = self.ledger.jobs[ID].subtasks["0.0.0"]
            self.assertIsNotNone(subtask.active)
            self.ports["w1"].is_unreachable = True
            await asyncio.sleep(0.4)
            self.assertIsNone(subtask.active)
            self.assertEqual({}, self.ledger.workers)

        self.check(scenario)

    def test_repeated_calls_look_at_a_draining_worker_once(self):
        """Each call of another writer left a task that asked the worker again and again."""

        async def scenario():
            await self.start_job_on(worker("w1"))
            await self.heartbeat(worker("w1", state=WorkerState.DRAINING), sequence=2)
            before = len(asyncio.all_tasks())
            for _ in range(50):
                await self.call(messages.Deregister("w1"))
                await asyncio.sleep(0.001)
            self.assertLess(len(asyncio.all_tasks()), before + 10)

        self.check(scenario)

    def test_a_removal_whose_call_is_given_up_ends_the_session_and_its_runs(self):
        """The session stayed, and the job whose run was there waited for the lease."""

        async def scenario():
            await self.start_job_on(worker("w1"))
            await self.heartbeat(worker("w1", state=WorkerState.DRAINING), sequence=2)
            self.ports["w1"].is_unreachable = True
            propose = self.replica.propose

            async def propose_slowly(command):
                await asyncio.sleep(0.1)
                return await propose(command)

            self.replica.propose = propose_slowly
            call = asyncio.create_task(self.call(messages.Deregister("w1")))
            await asyncio.sleep(0.05)
            call.cancel()
            subtask = self.ledger.jobs[ID].subtasks["0.0.0"]
            await self.until(lambda: subtask.active is None, "its run is ended as lost")
            self.assertEqual({}, self.ledger.workers)

        self.check(scenario)
