import random

import testtools

from agateferry_state.members import Member, MemberId
from agateferry_state.replication import Core, Role, Settings, StoredState, messages
from agateferry_state.replication.election import RECOVERY_TERM_STEP
from agateferry_state.replication.tests.support import SEEDS as SEEDS_OF_SEARCHES
from agateferry_state.replication.tests.support import Cluster

SEEDS = 60
SEARCH_SEEDS = SEEDS_OF_SEARCHES // 2
BACK_AFTER_MS = 1000
MAX_FIRST_ACK_MS = 4000
"""The platform asks that an operator's order is acknowledged by then."""


def is_sent(effect):
    return isinstance(effect, messages.Send)


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
                cluster.schedule(BACK_AFTER_MS, cluster.start_again, name)
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


class RestartWhileFormingTests(testtools.TestCase):
    """Hosts that are restarted during the first start, which then may only join a cell."""

    def play(self, seed, restart_count):
        """Restart hosts, beside cuts and freezes, and return the cluster after the last of them.

        One of them may lose its disk. With two disks of three, what was acknowledged may be lost.
        """
        cluster = Cluster(seed, formed=False)
        cluster.run_clients(60_000)
        rng = cluster.rng
        stops = [rng.choice((cluster.kill, cluster.wipe)), cluster.kill]
        for name, stop in zip(rng.sample("abc", restart_count), stops, strict=False):
            at_ms = rng.randint(0, 3000)
            cluster.schedule(at_ms, stop, name)
            cluster.schedule(at_ms + rng.randint(100, 4000), cluster.start_again, name)
        for name in rng.sample("abc", rng.randint(0, 2)):
            at_ms = rng.randint(0, 4000)
            links = {(a, b) for a in "abc" for b in "abc" if name in (a, b)}
            cluster.schedule(at_ms, cluster.blocked_links.update, links)
            back_ms = at_ms + rng.randint(100, 4000)
            cluster.schedule(back_ms, cluster.blocked_links.difference_update, links)
        if rng.random() < 0.5:
            name, at_ms = rng.choice("abc"), rng.randint(0, 4000)
            cluster.schedule(at_ms, cluster.freeze, name)
            cluster.schedule(at_ms + rng.randint(100, 4000), cluster.unfreeze, name)
        cluster.run_until(9000)
        return cluster

    def test_a_cell_forms_though_one_host_was_restarted(self):
        """It never formed if the first host by name was the one."""
        for seed in range(SEARCH_SEEDS):
            cluster = self.play(seed, 1)
            cluster.run_until(12_000)
            cluster.check_recovered()

    def test_no_two_cells_come_to_be_though_two_hosts_were_restarted(self):
        """Two cells commit different entries at one index, which the cluster reports."""
        for seed in range(SEARCH_SEEDS):
            self.play(seed, 2).run_until(20_000)


class RestartedFirstHostTests(testtools.TestCase):
    """The second first host decides whether to start a cell in the place of the first."""

    def setUp(self):
        super().setUp()
        first_hosts = tuple(Member(MemberId(host)) for host in "abc")
        me = Member(MemberId("b", "b1"))
        self.settings = Settings(first_hosts=first_hosts)
        self.core = Core(me, self.settings, StoredState(), random.Random(1), 0)

    def confirm(self, host, now_ms, **says):
        """Let a host greet, and answer the request for a proof that follows."""
        member = Member(MemberId(host, f"{host}1"))
        for nonce in (0, None):
            nonce = self.nonce if nonce is None else nonce
            greeting = messages.Greeting(0, member, True, nonce, **says)
            event = messages.MessageReceived(member.id, self.core.me.id, greeting)
            for effect in self.core.step(event, now_ms):
                if is_sent(effect) and isinstance(effect.message, messages.GreetingRequest):
                    self.nonce = effect.message.nonce

    def vote(self, host, now_ms, granted):
        """Let a host answer the request for its vote."""
        term = self.core.term
        response = messages.VoteResponse(term, term, granted)
        sender = MemberId(host, f"{host}1")
        self.core.step(messages.MessageReceived(sender, self.core.me.id, response), now_ms)

    def test_the_others_have_to_prove_that_they_are_empty_after_its_restart(self):
        """One that was empty before may have acknowledged an entry of the restarted host."""
        self.confirm("c", 1000)
        self.confirm("a", 1500, joins_only=True)
        self.core.step(messages.Tick(), 2100)
        self.assertEqual(0, self.core.last_index)
        self.assertIs(Role.FOLLOWER, self.core.role)
        self.confirm("c", 2200)
        self.core.step(messages.Tick(), 2800)
        self.assertIs(Role.CANDIDATE, self.core.role)
        self.assertGreater(self.core.term, RECOVERY_TERM_STEP)
        self.vote("c", 2810, granted=True)
        self.assertEqual(1, self.core.last_index)
        self.assertEqual(set("abc"), {m.host for m in self.core.members.voter_ids})

    def test_it_starts_none_without_the_vote_of_another_first_host(self):
        """One that got an entry of an earlier cell refuses, and may have committed it since."""
        self.confirm("a", 1500, joins_only=True)
        self.confirm("c", 2200)
        self.core.step(messages.Tick(), 2800)
        self.vote("c", 2810, granted=False)
        self.assertEqual(0, self.core.last_index)

    def test_a_vote_is_refused_by_a_host_that_got_an_entry_of_an_earlier_cell(self):
        """Its entry could be committed later, by a host that was restarted with its disk."""
        entry = messages.LogEntry(1, 1, messages.EntryKind.NOOP, b"")
        for entries, granted in (((), True), ((entry,), False)):
            stored = StoredState(term=1, entries=entries)
            core = Core(Member(MemberId("c", "c1")), self.settings, stored, random.Random(1), 0)
            request = messages.VoteRequest(RECOVERY_TERM_STEP + 1, 0, 0, transfer=True)
            event = messages.MessageReceived(self.core.me.id, core.me.id, request)
            sent = [effect.message for effect in core.step(event, 10) if is_sent(effect)]
            votes = [each for each in sent if isinstance(each, messages.VoteResponse)]
            self.assertEqual([granted], [vote.granted for vote in votes])

    def test_it_starts_none_where_the_first_host_may(self):
        """Two hosts that may start one make two cells."""
        self.confirm("c", 1000)
        self.confirm("a", 1500)
        self.core.step(messages.Tick(), 2100)
        self.assertEqual(0, self.core.last_index)
