import testtools

from agateferry_state.replication import Settings
from agateferry_state.replication.tests.replacement_orders import (
    Kind,
    Loss,
    ReplacedHosts,
    Target,
)
from agateferry_state.replication.tests.support import Cluster

SEEDS = 20
MAX_HAND_OVER_MS = 3 * Settings().election_timeout_max_ms
"""Two election timeouts and the changes of the members."""


class GoneHostTests(testtools.TestCase):
    def test_a_host_that_is_gone_does_not_stay_a_learner(self):
        """A first host that had greeted once was admitted again, and got heartbeats for good."""
        losses = [Loss(Target.NEWEST, Kind.WIPED), Loss(Target.NEWEST, Kind.GONE)]
        for seed in range(SEEDS):
            cluster = Cluster(seed, loss=0.0, replaces_hosts=True, may_bootstrap=False)
            ReplacedHosts(cluster).play(losses)


class StoppingHostTests(testtools.TestCase):
    def test_a_host_whose_transfer_of_leadership_was_lost_does_not_lead_again(self):
        """It kept its vote until it ended, so that the loss of another host left no leader."""
        for seed in range(SEEDS):
            cluster = Cluster(seed, loss=0.0, replaces_hosts=True, may_bootstrap=False)
            cluster.run_until(5000)
            cluster.add_host("d")
            cluster.run_until(10_000)
            stopped = cluster.leader()
            links = {(stopped, name) for name in cluster.hosts}
            cluster.blocked_links |= links
            cluster.announce_stop(stopped)
            cluster.run_until(cluster.now + 5)
            cluster.blocked_links -= links
            cluster.run_until(cluster.now + MAX_HAND_OVER_MS)
            leader = cluster.leader()
            voters = {m.host for m in cluster.hosts[leader].core.members.voter_ids}
            self.assertEqual(set(cluster.hosts) - {stopped}, voters)
