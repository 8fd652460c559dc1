import testtools

from agateferry_jobs.ledger import Run
from agateferry_jobs.workers.tracked_run import Phase, TrackedRun


class ProgressTests(testtools.TestCase):
    def test_a_report_without_progress_does_not_count_as_progress(self):
        tracked = TrackedRun(Run(1, "w1", 1), Phase.CONFIRMED, 0)
        for percent, at_ms in ((10, 1_000), (30, 2_000), (30, 6_000)):
            tracked.record_progress(percent, at_ms)
        self.assertEqual((30, 2_000), (tracked.percent, tracked.last_progress_ms))
