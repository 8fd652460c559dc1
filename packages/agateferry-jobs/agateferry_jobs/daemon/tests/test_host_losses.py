"""Losses of hosts of a cell, one after the other, in virtual time and with the cell's own times."""

from dataclasses import asdict, replace
from itertools import product

import testtools

from agateferry_jobs.daemon.cell import REPLICATION_SETTINGS, replace_after_ms
from agateferry_state.replication.tests.replacement_orders import (
    CATCH_UP_MS,
    Kind,
    Loss,
    ReplacedHosts,
    Target,
)
from agateferry_state.replication.tests.support import SEEDS, Cluster, ViolationError

ORDERS_PER_SEED = 500
"""The default number of seeds of the other searches plays each order of losses once."""
SUCCESSOR_DELAYS_MS = (0, 500)
BACK_AGAIN = (Kind.WIPED, Kind.KILLED, Kind.CUT, Kind.FROZEN)
PLANNED = [Loss(target, Kind.STOPPED, -CATCH_UP_MS) for target in Target]
GONE = [Loss(target, Kind.GONE, delay) for target in Target for delay in SUCCESSOR_DELAYS_MS]
FIRST_LOSSES = [*GONE, *PLANNED, *(Loss(Target.LEADER, kind) for kind in BACK_AGAIN)]
SECOND_LOSSES = [
    Loss(target, kind) for target in Target for kind in Kind if kind is not Kind.STOPPED
]
LAST_LOSS = Loss(Target.LEADER, Kind.KILLED)


class LossesOneAfterTheOtherTests(testtools.TestCase):
    """A host is lost `catchUpS` after the successor of another one was started, or was back.

    A successor took a lost host's vote only after 4 s of silence under one leader, also that of a
    host that was stopped. Another loss before that left no majority: no leader for good.
    """

    def play(self, host_count):
        times = replace(REPLICATION_SETTINGS, replace_after_ms=replace_after_ms(CATCH_UP_MS))
        settings = asdict(replace(times, may_bootstrap=False))
        del settings["cell"], settings["first_hosts"]
        for seed in range(max(1, SEEDS // ORDERS_PER_SEED)):
            for losses in product(FIRST_LOSSES, SECOND_LOSSES):
                cluster = Cluster(seed, disks=(True,) * host_count, loss=0.0, **settings)
                try:
                    ReplacedHosts(cluster).play([*losses, LAST_LOSS])
                except ViolationError as exc:
                    raise AssertionError(f"seed {seed}, {losses}: {exc}") from exc

    def test_three_hosts(self):
        self.play(3)

    def test_five_hosts(self):
        self.play(5)


class ReplaceAfterTests(testtools.TestCase):
    def test_a_successor_is_counted_before_the_next_host_may_be_lost(self):
        self.assertEqual(2_000, replace_after_ms(4_000))
        self.assertLess(replace_after_ms(8_000), 8_000)

    def test_a_host_that_an_election_silences_is_not_replaced(self):
        """A bound of some 100 ms must not let each slow answer change the members."""
        longest_election_ms = REPLICATION_SETTINGS.election_timeout_max_ms
        self.assertGreaterEqual(replace_after_ms(100), 2 * longest_election_ms)

    def test_without_a_bound_the_time_is_as_before(self):
        self.assertEqual(REPLICATION_SETTINGS.replace_after_ms, replace_after_ms(None))
