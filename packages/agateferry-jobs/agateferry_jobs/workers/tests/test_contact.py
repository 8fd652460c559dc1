import testtools

from agateferry_core.clock import ManualClock
from agateferry_jobs.workers.contact import RETURN_WAIT_MS, WorkerContact
from agateferry_jobs.workers.report_age import ReportAge


class SilenceTests(testtools.TestCase):
    """Gangs waited until they were hopeless for racks whose workers were lost for good."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.contact = WorkerContact(self.clock, ReportAge(None, None))
        self.contact.record_first_lists()

    def health(self):
        return self.contact.health(False, ())

    def test_a_worker_that_has_just_fallen_silent_may_return(self):
        self.contact.record_failure()
        self.assertFalse(self.health().answers)
        self.assertTrue(self.health().is_expected)

    def test_a_worker_that_stays_silent_is_not_expected(self):
        self.contact.record_failure()
        self.clock.advance(RETURN_WAIT_MS)
        self.assertFalse(self.health().is_expected)
        self.contact.record_answer()
        self.assertTrue(self.health().is_expected)

    def test_a_worker_without_runs_that_sends_no_heartbeat_is_not_expected(self):
        self.clock.advance(RETURN_WAIT_MS)
        self.assertFalse(self.health().is_expected)
