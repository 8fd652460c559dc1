import testtools

from agateferry_state.replication.tests.replacement_orders import (
    Kind,
    Loss,
    ReplacedHosts,
    Target,
)
from agateferry_state.replication.tests.support import Cluster

SEEDS = 20


class GoneHostTests(testtools.TestCase):
    def test_a_host_that_is_gone_does_not_stay_a_learner(self):
        """A first host that had greeted once was admitted again, and got heartbeats for good."""
        losses = [Loss(Target.NEWEST, Kind.WIPED), Loss(Target.NEWEST, Kind.GONE)]
        for seed in range(SEEDS):
            cluster = Cluster(seed, loss=0.0, replaces_hosts=True, may_bootstrap=False)
            ReplacedHosts(cluster).play(losses)
