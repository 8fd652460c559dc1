"""A report was acknowledged and not used, and nothing told an operator so."""

import testtools
from structlog.testing import capture_logs

from agateferry_jobs import metrics
from agateferry_jobs.cell import events
from agateferry_jobs.cell.ignored_reports import MAX_LOGGED, IgnoredReports
from agateferry_jobs.support import worker

REASON = "overtaken"


def counted():
    return metrics.REPORTS_IGNORED.labels(REASON)._value.get()


class IgnoredReportsTests(testtools.TestCase):
    def test_each_report_is_counted_and_a_repeated_case_is_logged_once(self):
        ignored = IgnoredReports(events.REPORT_UNUSED)
        before = counted()
        with capture_logs() as lines:
            for sequence in (4, 5):
                ignored.record(worker("w1"), REASON, sequence=sequence)
            ignored.record(worker("w2"), REASON, sequence=1)
        self.assertEqual(3, counted() - before)
        logged = [(line["worker"], line["reason"], line["sequence"]) for line in lines]
        self.assertEqual([("w1", REASON, 4), ("w2", REASON, 1)], logged)

    def test_reports_of_many_invented_ids_do_not_grow_the_table(self):
        ignored = IgnoredReports(events.REPORT_UNUSED)
        with capture_logs():
            for number in range(MAX_LOGGED + 100):
                ignored.record(worker(f"w{number}"), REASON)
        self.assertEqual(MAX_LOGGED, len(ignored._logged))
