import testtools

from agateferry_state.replication.lease import Lease


class LeaseTests(testtools.TestCase):
    def test_the_lease_counts_from_the_start_of_the_confirmed_round(self):
        lease = Lease(lease_ms=800, now_ms=0)
        first = lease.begin_round(100)
        lease.begin_round(400)
        lease.confirm(first)
        self.assertEqual((True, False), (lease.is_valid(899), lease.is_valid(900)))

    def test_an_older_round_does_not_shorten_the_lease(self):
        lease = Lease(lease_ms=800, now_ms=0)
        first, second = lease.begin_round(100), lease.begin_round(400)
        lease.confirm(second)
        lease.confirm(first)
        self.assertEqual(1200, lease.valid_until_ms)
