import random

import testtools

from agateferry_state.members import Member, MemberId, Members
from agateferry_state.replication import Core, Settings, StoredState, messages
from agateferry_state.replication.lease import Lease
from agateferry_state.replication.tests.support import Cluster


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


class EarlierTermTests(testtools.TestCase):
    """A late message of an earlier term reaches a member whose vote made its sender lead again.

    The answer counted as one to a round of the new term. A round that was not there yet ended the
    replica; one that was extended the lease without an answer.
    """

    def answers(self, message):
        sender, me = MemberId("a", "a1"), Member(MemberId("b", "b1"))
        follower = Core(me, Settings(), StoredState(term=2), random.Random(1), 0)
        effects = follower.step(messages.MessageReceived(sender, me.id, message), 10)
        return [each.message for each in effects if isinstance(each, messages.Send)]

    def test_the_answer_names_no_round(self):
        (answer,) = self.answers(messages.AppendRequest(1, 0, 0, 0, 165))
        self.assertEqual((2, 0, False), (answer.term, answer.round, answer.success))
        meta = messages.SnapshotMeta(7, 1, Members(), 3, 0)
        (answer,) = self.answers(messages.SnapshotChunk(1, meta, 0, b"abc", 165))
        self.assertEqual((2, 0), (answer.term, answer.round))

    def test_an_answer_to_a_round_that_was_not_begun_extends_no_lease(self):
        cluster = Cluster(1)
        cluster.run_until(2000)
        leader = cluster.hosts[cluster.leader()]
        core, others = leader.core, [each for each in cluster.hosts.values() if each is not leader]
        valid_until_ms = core._state.leader_state.lease.valid_until_ms
        for other in others:
            answer = messages.AppendResponse(core.term, 10**6, success=False)
            event = messages.MessageReceived(other.core.me.id, core.me.id, answer)
            core.step(event, cluster.local_ms(leader))
        self.assertEqual(valid_until_ms, core._state.leader_state.lease.valid_until_ms)
