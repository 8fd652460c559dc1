import testtools

from agateferry_state.members import Member, MemberId, Members

A, B = (Member(MemberId(h, "1")) for h in "ab")


class MembersTests(testtools.TestCase):
    def test_decode_returns_what_was_encoded(self):
        given_up = (MemberId("c", "1"),)
        members = Members((A,), (B,), removed=("d",), given_up=given_up, is_forming=True)
        self.assertEqual(members, Members.decode(members.encode()))

    def test_a_promoted_learner_is_no_longer_a_learner(self):
        self.assertEqual(Members((A, B)), Members((A,), (B,)).with_voter(B))

    def test_a_new_incarnation_replaces_a_learner_of_the_same_host(self):
        newer = Member(MemberId("b", "2"))
        self.assertEqual((newer,), Members((A,), (B,)).with_learner(newer).learners)
