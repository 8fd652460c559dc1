from agateferry_standins.tests.support import RUN_ONCE, URGENT, SystemTestCase
from agateferry_standins.worker import Behaviour

FAULTY_STARTS = 10


class MisbehavingWorkerTests(SystemTestCase):
    """Inject a fault into all workers for a while, under load."""

    def run_with_fault(self, behaviour):
        async def test():
            load_task = self.send((RUN_ONCE, URGENT), 100)
            await self.wait_for_accepted(20)
            for worker in self.system.workers:
                worker.set_behaviour(behaviour)
            await self.wait_for_starts(sum(self.start_log.starts.values()) + FAULTY_STARTS)
            for worker in self.system.workers:
                worker.set_behaviour(Behaviour.SOUND)
            await load_task
            self.assert_clean()

        self.run_on_system(test)

    def test_answers_sent_twice(self):
        self.run_with_fault(Behaviour.TWICE)

    def test_answers_of_other_requests(self):
        self.run_with_fault(Behaviour.WRONG)

    def test_truncated_answers(self):
        self.run_with_fault(Behaviour.TRUNCATED)

    def test_late_answers(self):
        self.run_with_fault(Behaviour.LATE)

    def test_calls_without_an_answer(self):
        self.run_with_fault(Behaviour.SILENT)

    def test_tasks_that_all_fail(self):
        self.run_with_fault(Behaviour.FAILING)
