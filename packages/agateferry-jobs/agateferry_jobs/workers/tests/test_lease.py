import testtools

from agateferry_jobs.workers.lease import EXPIRY_MARGIN_MS, Lease


class LeaseTests(testtools.TestCase):
    def test_a_deadline_is_over_only_when_the_slowest_clock_has_passed_it(self):
        lease = Lease(duration_ms=9800, earlier_leases_until_ms=0)
        lease.read_clock(500, now_ms=0)
        self.assertEqual(10_300, lease.grant_deadline(now_ms=0))
        self.assertFalse(lease.is_expired(10_000 + EXPIRY_MARGIN_MS - 1))
        self.assertTrue(lease.is_expired(10_000 + EXPIRY_MARGIN_MS))

    def test_without_a_clock_no_deadline_is_given_and_an_older_one_is_waited_for(self):
        lease = Lease(duration_ms=1000, earlier_leases_until_ms=700)
        self.assertIsNone(lease.grant_deadline(now_ms=0))
        self.assertFalse(lease.is_expired(699))
        self.assertTrue(lease.is_expired(700))

    def test_an_order_that_got_no_answer_counts_as_given(self):
        lease = Lease(duration_ms=1000, earlier_leases_until_ms=0)
        lease.read_clock(0, now_ms=0)
        lease.grant_deadline(now_ms=5000)
        self.assertFalse(lease.is_expired(5900))

    def test_a_newer_reading_shortens_what_must_be_waited_for(self):
        lease = Lease(duration_ms=1000, earlier_leases_until_ms=0)
        lease.read_clock(0, now_ms=0)
        lease.grant_deadline(now_ms=0)
        lease.read_clock(1000, now_ms=1000)
        self.assertTrue(lease.is_expired(1000 + EXPIRY_MARGIN_MS))
