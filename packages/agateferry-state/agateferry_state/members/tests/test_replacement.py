import testtools

from agateferry_state.members import Member, MemberId, Members
from agateferry_state.members.replacement import next_replacement, promotable_learners


def member(host, incarnation="1", has_disk=True):
    return Member(MemberId(host, incarnation), has_disk)


def ids(*hosts):
    return {MemberId(host, "1") for host in hosts}


THREE = Members((member("a"), member("b"), member("c")))


class NextReplacementTests(testtools.TestCase):
    def test_an_unknown_host_with_a_disk_becomes_a_learner(self):
        changed = next_replacement(THREE, {"d": member("d")}, set(), set())
        self.assertEqual(("d",), tuple(m.id.host for m in changed.learners))

    def test_a_host_without_a_disk_or_removed_by_an_operator_is_not_admitted(self):
        self.assertIsNone(next_replacement(THREE, {"d": member("d", "1", False)}, set(), set()))
        barred = Members(THREE.voters, removed=("d",))
        self.assertIsNone(next_replacement(barred, {"d": member("d")}, set(), set()))

    def test_a_silent_voter_is_removed_if_a_learner_has_caught_up(self):
        members = THREE.with_learner(member("d"))
        changed = next_replacement(members, {}, ids("d"), ids("a"))
        self.assertEqual(ids("b", "c"), changed.voter_ids)

    def test_a_silent_voter_of_three_stays_while_no_learner_can_replace_it(self):
        self.assertIsNone(next_replacement(THREE, {}, set(), ids("a")))
        lagging = THREE.with_learner(member("d"))
        self.assertIsNone(next_replacement(lagging, {}, set(), ids("a")))

    def test_a_silent_voter_of_four_is_removed_without_a_replacement(self):
        members = Members((*THREE.voters, member("d")))
        self.assertEqual(
            ids("a", "b", "c"), next_replacement(members, {}, set(), ids("d")).voter_ids
        )

    def test_a_learner_that_is_gone_does_not_stay(self):
        """It was sent every heartbeat for good."""
        members = THREE.with_learner(member("d"))
        self.assertEqual(THREE, next_replacement(members, {}, set(), ids("d")))
        self.assertIsNone(next_replacement(members, {"d": member("d")}, set(), ids("d")))


class PromotableLearnersTests(testtools.TestCase):
    def test_a_single_learner_does_not_make_an_even_number_of_voters(self):
        self.assertEqual(set(), promotable_learners(THREE.with_learner(member("d")), ids("d")))

    def test_two_learners_make_five_voters(self):
        members = THREE.with_learner(member("d")).with_learner(member("e"))
        self.assertEqual(ids("d", "e"), promotable_learners(members, ids("d", "e")))

    def test_a_learner_is_promoted_before_a_voter_stops(self):
        """With the voter removed first, the loss of another one meanwhile leaves no majority."""
        members = THREE.with_learner(member("d"))
        self.assertEqual(ids("d"), promotable_learners(members, ids("d"), ids("a")))
        self.assertEqual(set(), promotable_learners(members, ids("d"), ids("d")))

    def test_a_learner_is_promoted_if_the_number_of_voters_is_even(self):
        members = Members((member("b"), member("c"))).with_learner(member("d"))
        self.assertEqual(ids("d"), promotable_learners(members, ids("d")))

    def test_a_successor_on_the_same_host_may_always_be_promoted(self):
        members = THREE.with_learner(member("a", "2"))
        successor = MemberId("a", "2")
        self.assertEqual({successor}, promotable_learners(members, {successor}))
