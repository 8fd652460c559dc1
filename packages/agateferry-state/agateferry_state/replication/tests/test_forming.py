import testtools

from agateferry_state.replication.tests.support import Cluster

SEEDS = 60
BACK_AFTER_MS = 1000
MAX_FIRST_ACK_MS = 4000
"""The platform asks that an operator's order is acknowledged by then."""


class FormingTests(testtools.TestCase):
    """The first proposals to a new cell, with the loss of one host around their acknowledgement."""

    def cluster(self, seed):
        cluster = Cluster(seed, formed=False, loss=0.0)
        cluster.run_clients(60_000)
        return cluster

    def run_until(self, cluster, condition, limit_ms=10_000):
        end = cluster.now + limit_ms
        while not condition():
            self.assertLess(cluster.now, end)
            cluster.run_until(cluster.now + 1)

    def test_a_disk_is_lost_right_after_the_first_acknowledgement(self):
        """Two voters of three acknowledged it, and with one disk gone no leader came any more."""
        for seed in range(SEEDS):
            for name in "abc":
                cluster = self.cluster(seed)
                self.run_until(cluster, lambda cluster=cluster: cluster.history.acked)
                cluster.wipe(name)
                cluster.schedule(BACK_AFTER_MS, cluster.start_empty, name)
                cluster.run_until(cluster.now + BACK_AFTER_MS)
                cluster.check_recovered()

    def test_a_host_is_lost_while_the_cell_forms(self):
        """A cell that needs only two of its three hosts must not wait for one that is gone."""
        for seed in range(SEEDS):
            cluster = self.cluster(seed)
            self.run_until(cluster, lambda cluster=cluster: self.is_led(cluster))
            lost = max(name for name in "abc" if name != self.leading_host(cluster))
            cluster.remove_host(lost)
            acked = cluster.history.acked
            self.run_until(cluster, lambda acked=acked: acked, MAX_FIRST_ACK_MS)

    def is_led(self, cluster):
        return self.leading_host(cluster) is not None

    def leading_host(self, cluster):
        """Return the host whose log says that it forms a cell in which it votes."""
        hosts = cluster.hosts.values()
        return next((h.name for h in hosts if h.core.members.is_voter(h.core.me.id)), None)
