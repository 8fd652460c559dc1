import testtools

from agateferry_state.members import MemberId
from agateferry_state.replication import Settings, messages
from agateferry_state.replication.lease import Lease
from agateferry_state.replication.tests import faults
from agateferry_state.replication.tests.support import SEEDS, Cluster, History, ViolationError


def run_seeds(choose_faults, first_seed=0, disks=(True, True, True), seeds=SEEDS):
    """Run the chosen faults with every seed; odd seeds take many small snapshots."""
    for seed in range(first_seed, first_seed + seeds):
        small_snapshots = {
            "snapshot_every_entries": 12,
            "trailing_entries": 3,
            "snapshot_chunk_bytes": 100,
        }
        cluster = Cluster(seed, disks, **(small_snapshots if seed % 2 else {}))
        try:
            faults.run(cluster, choose_faults(cluster))
        except Exception as exc:
            raise AssertionError(f"seed {seed}: {exc}") from exc


class SingleFaultTests(testtools.TestCase):
    def test_kill(self):
        run_seeds(lambda c: [faults.kill])

    def test_kill_all(self):
        run_seeds(lambda c: [faults.kill_all])

    def test_voters_are_killed_after_their_vote(self):
        run_seeds(lambda c: [faults.kill_after_vote])

    def test_lose_disk_while_one_lags(self):
        run_seeds(lambda c: [faults.lose_disk_while_one_lags])

    def test_lose_disk(self):
        run_seeds(lambda c: [faults.lose_disk])

    def test_lose_disk_again_after_repair(self):
        run_seeds(lambda c: [faults.lose_disk_twice])

    def test_freeze_leader(self):
        run_seeds(lambda c: [faults.freeze_leader])

    def test_leader_cannot_send(self):
        run_seeds(lambda c: [faults.block_outgoing])

    def test_leader_cannot_receive(self):
        run_seeds(lambda c: [faults.block_incoming])

    def test_one_blocked_link(self):
        run_seeds(lambda c: [faults.block_one_link])

    def test_isolated_host(self):
        run_seeds(lambda c: [faults.isolate])

    def test_clocks_jump(self):
        run_seeds(lambda c: [faults.jump_clock])


class RestartOfAllTests(testtools.TestCase):
    """All members of a group restart at the same moment."""

    def election_ms(self, seed):
        cluster = Cluster(seed, disks=(True,) * 8)
        cluster.run_until(10_000)
        for name in cluster.hosts:
            cluster.kill(name)
        for name in cluster.hosts:
            cluster.start(name)
        started_ms = cluster.now
        while cluster.leader() is None:
            cluster.run_until(cluster.now + 10)
        return cluster.now - started_ms

    def test_eight_members_elect_a_leader_within_one_election_timeout_and_two_retries(self):
        settings = Settings()
        bound_ms = settings.election_timeout_max_ms + 2 * settings.election_retry_max_ms
        times_ms = {seed: self.election_ms(seed) for seed in range(SEEDS // 5)}
        self.assertEqual({}, {seed: ms for seed, ms in times_ms.items() if ms > bound_ms})


class PlantedFaultTests(testtools.TestCase):
    """The checker must find faults that are planted on purpose."""

    def assert_found(self, fault, pattern, **planted):
        for name, value in planted.items():
            self.patch(Cluster, name, value)
        with testtools.ExpectedException(AssertionError, pattern):
            run_seeds(lambda c: [fault], seeds=max(SEEDS, 500))

    def test_vote_is_not_synced(self):
        self.assert_found(faults.kill_after_vote, ".*(went down|voted twice)", loses_votes=True)

    def test_vote_is_given_twice(self):
        for loses_votes in (False, True):
            cluster = Cluster(1)
            cluster.loses_votes = loses_votes
            cluster.history.checks_terms = False
            request = messages.VoteRequest(term=2, last_index=9, last_term=1, transfer=True)
            found = []
            for name in ("a", "b"):
                event = messages.MessageReceived(
                    MemberId(name, f"{name}1"), MemberId("c", "c1"), request
                )
                try:
                    cluster.step(cluster.hosts["c"], event)
                except ViolationError as exc:
                    found.append(str(exc))
                cluster.kill("c")
                cluster.start("c")
            self.assertEqual(["c/c1 voted twice in term 2"] * loses_votes, found)

    def test_incarnation_is_not_checked(self):
        self.patch(History, "checks_terms", False)
        pattern = ".*(two entries|is lost)"
        self.assert_found(faults.lose_disk_while_one_lags, pattern, keeps_incarnation=True)

    def test_entries_are_not_synced(self):
        self.assert_found(faults.kill_all, ".*(two entries|is lost)", skips_sync=True)

    def test_read_without_the_lease(self):
        self.patch(Lease, "is_valid", lambda lease, now_ms: True)
        self.patch(Cluster, "_check_leases", lambda cluster, host: None)
        self.assert_found(faults.isolate, ".*read .* after")

    def test_leads_without_the_lease(self):
        self.patch(Lease, "is_valid", lambda lease, now_ms: True)
        self.assert_found(faults.isolate, ".*(hold the lease|read)")


class PairTests(testtools.TestCase):
    """Two faults in one run, chosen by the seed."""

    def test_pairs(self):
        run_seeds(lambda c: c.rng.choices(faults.ALL, k=2), first_seed=10_000)

    def test_pairs_with_kill(self):
        run_seeds(lambda c: [faults.kill, c.rng.choice(faults.ALL)], first_seed=20_000)

    def test_pairs_with_a_lost_disk(self):
        run_seeds(lambda c: [faults.lose_disk, c.rng.choice(faults.ALL)], first_seed=30_000)

    def test_five_hosts(self):
        run_seeds(lambda c: c.rng.choices(faults.ALL, k=2), 40_000, disks=(True,) * 5)


class HostsWithoutDiskTests(testtools.TestCase):
    def test_one_disk_of_three(self):
        run_seeds(lambda c: [c.rng.choice(faults.ALL)], 50_000, disks=(True, False, False))

    def test_two_disks_of_three(self):
        run_seeds(lambda c: [c.rng.choice(faults.ALL)], 60_000, disks=(True, True, False))

    def test_all_killed(self):
        run_seeds(lambda c: [faults.kill_all], 70_000, disks=(True, False, False))
