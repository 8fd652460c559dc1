from agateferry_standins.tests.support import ONCE, URGENT, SystemTestCase
from agateferry_standins.worker import Behaviour

FAULTY_STARTS = 10


class MisbehavingWorkerTests(SystemTestCase):
    """All workers show a fault for a while in a stream of requests."""

    def with_fault(self, behaviour):
        async def test():
            sending = self.send((ONCE, URGENT), 100)
            await self.until_accepted(20)
            for worker in self.system.workers:
                worker.set_behaviour(behaviour)
            await self.until_started(sum(self.starts.starts.values()) + FAULTY_STARTS)
            for worker in self.system.workers:
                worker.set_behaviour(Behaviour.SOUND)
            await sending
            self.assert_clean()

        self.on_system(test)

    def test_answers_sent_twice(self):
        self.with_fault(Behaviour.TWICE)

    def test_answers_of_other_requests(self):
        self.with_fault(Behaviour.WRONG)

    def test_truncated_answers(self):
        self.with_fault(Behaviour.TRUNCATED)

    def test_late_answers(self):
        self.with_fault(Behaviour.LATE)

    def test_connections_that_go_silent(self):
        self.with_fault(Behaviour.SILENT)

    def test_tasks_that_all_fail(self):
        self.with_fault(Behaviour.FAILING)
