from agateferry_jobs.ledger import Run, commands
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.planning.tests.test_planner import WHOLE_WORKER, PlannerCase
from agateferry_jobs.support import job_command, worker


class AwaitedReportTests(PlannerCase):
    """After a change of leaders runs were preempted for room that others had free.

    These workers answered, but had not reported their capacity yet.
    """

    def setUp(self):
        super().setUp()
        self.add(worker("w1"))
        self.apply(job_command("batch", StepSpec(1, WHOLE_WORKER), priority=2))
        self.apply(commands.StartRuns((commands.RunStart("batch", "0.0.0", Run(1, "w1", 1)),)))

    def stops_for(self, step):
        self.apply(job_command("urgent", step, priority=0))
        return self.plan().stops

    def test_nothing_is_preempted_for_what_a_worker_that_reports_soon_has_free(self):
        self.add(worker("w2"), has_recent_report=False, reports_soon=True)
        self.assertEqual([], self.stops_for(StepSpec(1, WHOLE_WORKER)))

    def test_nor_for_a_gang(self):
        self.add(worker("w2"), has_recent_report=False, reports_soon=True)
        self.assertEqual([], self.stops_for(StepSpec(1, WHOLE_WORKER, is_gang=True)))

    def test_a_worker_that_does_not_report_is_not_waited_for(self):
        self.add(worker("w2"), has_recent_report=False)
        self.assertEqual(1, len(self.stops_for(StepSpec(1, WHOLE_WORKER))))

    def test_a_worker_without_room_is_not_waited_for(self):
        small = worker("w2")
        small.capacity = WHOLE_WORKER.minus(WHOLE_WORKER)
        self.add(small, has_recent_report=False, reports_soon=True)
        self.assertEqual(1, len(self.stops_for(StepSpec(1, WHOLE_WORKER))))
