import testtools

from agateferry_jobs.ledger import Run
from agateferry_jobs.workers.tracked_run import MIN_PACE_MS, Phase, TrackedRun


def run_with_progress(*reports):
    """Return a run for which (percent, ms) were reported in this order."""
    tracked = TrackedRun(Run(1, "w1", 1), Phase.CONFIRMED, 0)
    for percent, at_ms in reports:
        tracked.record_progress(percent, at_ms)
    return tracked


class RemainingTimeTests(testtools.TestCase):
    def test_it_follows_from_the_pace_so_far(self):
        tracked = run_with_progress((10, 1_000), (30, 2_000))
        self.assertEqual(3_500, tracked.remaining_ms(2_000))
        self.assertEqual(3_000, tracked.remaining_ms(2_500))

    def test_a_run_that_is_overdue_has_no_time_left(self):
        self.assertEqual(0, run_with_progress((10, 1_000), (30, 2_000)).remaining_ms(9_000))

    def test_it_is_not_known_without_two_reports_some_time_apart(self):
        self.assertIsNone(run_with_progress().remaining_ms(1_000))
        self.assertIsNone(run_with_progress((10, 1_000)).remaining_ms(9_000))
        self.assertIsNone(
            run_with_progress((10, 1_000), (30, 1_000 + MIN_PACE_MS - 1)).remaining_ms(9_000)
        )

    def test_a_report_without_progress_does_not_count_as_progress(self):
        tracked = run_with_progress((10, 1_000), (30, 2_000), (30, 6_000))
        self.assertEqual(2_000, tracked.last_progress_ms)
