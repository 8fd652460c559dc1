import testtools

from agateferry_jobs.workers.clock_bounds import EXPIRY_MARGIN_MS
from agateferry_jobs.workers.lease import Lease


class LeaseTests(testtools.TestCase):
    def test_a_lease_expires_only_when_the_slowest_clock_has_passed_its_deadline(self):
        lease = Lease(duration_ms=9800, earlier_leases_until_ms=0)
        lease.read_answer(500, sent_ms=0, now_ms=0)
        self.assertEqual(10_300, lease.grant_deadline(now_ms=0))
        self.assertFalse(lease.is_expired(10_000 + EXPIRY_MARGIN_MS - 1))
        self.assertTrue(lease.is_expired(10_000 + EXPIRY_MARGIN_MS))

    def test_without_a_clock_reading_no_deadline_is_granted_and_earlier_leases_count(self):
        lease = Lease(duration_ms=1000, earlier_leases_until_ms=700)
        self.assertIsNone(lease.grant_deadline(now_ms=0))
        self.assertFalse(lease.is_expired(699))
        self.assertTrue(lease.is_expired(700))

    def test_a_deadline_counts_as_granted_without_an_answer(self):
        lease = Lease(duration_ms=1000, earlier_leases_until_ms=0)
        lease.read_answer(0, sent_ms=0, now_ms=0)
        lease.grant_deadline(now_ms=5000)
        self.assertFalse(lease.is_expired(5900))

    def test_a_newer_clock_reading_brings_the_expiry_forward(self):
        lease = Lease(duration_ms=1000, earlier_leases_until_ms=0)
        lease.read_answer(0, sent_ms=0, now_ms=0)
        lease.grant_deadline(now_ms=0)
        lease.read_answer(1000, sent_ms=1000, now_ms=1000)
        self.assertTrue(lease.is_expired(1000 + EXPIRY_MARGIN_MS))
