"""A report that was held up set a worker's clock back, and one of another writer set it ahead."""

import testtools

from agateferry_jobs.workers.clock_bounds import (
    CLOCK_PROOF_MARGIN_MS,
    EXPIRY_MARGIN_MS,
    ClockBounds,
)
from agateferry_jobs.workers.lease import Lease

HOUR_MS = 3_600_000


class ClockBoundsTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.bounds = ClockBounds.of_answer(50_000, sent_ms=0, now_ms=10)

    def test_a_held_up_report_leaves_the_lower_bound(self):
        held_up = self.bounds.with_report(50_100, now_ms=5_500)
        self.assertEqual(self.bounds.least, held_up.least)
        self.assertEqual(0, held_up.lateness_ms(55_400, now_ms=5_500))
        self.assertGreater(held_up.lateness_ms(50_100, now_ms=5_500), 5_000)

    def test_a_report_raises_the_lower_bound_only_as_far_as_an_answer_allows(self):
        raised = self.bounds.with_report(10**12, now_ms=1_000)
        self.assertEqual(51_000, raised.least.clock_ms)

    def test_no_report_raises_the_upper_bound(self):
        for number in range(100):
            self.bounds = self.bounds.with_report(50_000 + 2_000 * number, now_ms=1_000)
        self.assertTrue(self.bounds.is_ahead(51_000 + 2 * EXPIRY_MARGIN_MS, now_ms=1_000))

    def test_an_answer_that_was_held_up_keeps_the_closer_bounds(self):
        held_up = self.bounds.with_answer(50_500, sent_ms=400, now_ms=4_000)
        self.assertEqual(self.bounds.least, held_up.least)
        self.assertEqual(50_000, held_up.most.clock_ms)

    def test_a_new_answer_limits_what_drift_allows(self):
        """A clock that is 9 s ahead fits after an hour without an answer, but not after one."""
        clock_ms = 50_000 + HOUR_MS
        self.assertFalse(self.bounds.is_ahead(clock_ms + 9_000, HOUR_MS))
        answered = self.bounds.with_answer(clock_ms, HOUR_MS, HOUR_MS)
        self.assertTrue(answered.is_ahead(clock_ms + 9_000, HOUR_MS))

    def test_an_answer_to_an_order_sent_before_a_later_reading_agrees(self):
        later = self.bounds.with_report(52_000, now_ms=2_000)
        self.assertFalse(later.contradicts_answer(51_200, sent_ms=1_000, now_ms=2_100))
        self.assertTrue(later.contradicts_answer(50_500, sent_ms=1_000, now_ms=2_100))

    def test_the_slowest_clock_is_not_late_and_the_right_one_not_ahead(self):
        for rate in (0.98, 1.0):
            clock_ms = 50_000 + round(HOUR_MS * rate)
            self.assertEqual(0, self.bounds.lateness_ms(clock_ms, HOUR_MS))
            self.assertFalse(self.bounds.is_ahead(clock_ms, HOUR_MS))
            self.assertFalse(self.bounds.contradicts_answer(clock_ms, HOUR_MS, HOUR_MS))

    def test_a_held_up_report_proves_nothing_about_who_answers_now(self):
        """Its worker may have started again since it was written."""
        bounds = ClockBounds.of_answer(1_000, sent_ms=0, now_ms=0)
        held_up = bounds.with_report(1_500, now_ms=9_000)
        restarted_clock_ms = 8_000
        self.assertFalse(held_up.identifies(restarted_clock_ms, 9_000, 9_000))
        fresh = bounds.with_report(10_000, now_ms=9_000)
        self.assertTrue(fresh.identifies(10_000 + CLOCK_PROOF_MARGIN_MS, 11_000, 11_000))


class LeaseOnForeignClockTests(testtools.TestCase):
    """A lease that ends too early starts work that is still going on a second time."""

    def test_reports_with_a_clock_ahead_do_not_end_a_lease(self):
        lease = Lease(duration_ms=8_000, earlier_leases_until_ms=0)
        lease.read_answer(50_000, sent_ms=0, now_ms=0)
        lease.grant_deadline(now_ms=0)
        for number in range(10):
            lease.read_report(50_000 + 1_000 * number, now_ms=100 * number)
        self.assertFalse(lease.is_expired(8_000))

    def test_an_answer_that_contradicts_the_one_before_counts_the_longest_lease(self):
        lease = Lease(duration_ms=8_000, earlier_leases_until_ms=0, max_ms=10_000)
        lease.read_answer(10**12, sent_ms=0, now_ms=0)
        lease.grant_deadline(now_ms=0)
        lease.read_answer(50_000, sent_ms=1_000, now_ms=1_000)
        self.assertFalse(lease.is_expired(11_000))
        self.assertTrue(lease.is_expired(11_500))
