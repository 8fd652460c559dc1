import testtools

from agateferry_state.members import Member, MemberId, Members
from agateferry_state.members.admission import bootstrap_host, next_membership_change


def member(host, incarnation="1", has_disk=True):
    return Member(MemberId(host, incarnation), has_disk)


class NextMembershipChangeTests(testtools.TestCase):
    def steps(self, members, newcomer, hosts=("a", "b", "c")):
        """Return the voters after each change, with a newcomer that has always caught up."""
        present = {newcomer.id.host: newcomer}
        voters_after_each_step = []
        while (
            members := next_membership_change(members, present, {newcomer.id}, hosts)
        ) is not None:
            voters_after_each_step.append(
                "".join(m.id.host + m.id.incarnation for m in members.voters)
            )
        return voters_after_each_step

    def test_a_lost_host_is_removed_before_its_successor_votes(self):
        members = Members((member("a"), member("b"), member("c")))
        self.assertEqual(["a1b1c1", "b1c1", "b1c1a2"], self.steps(members, member("a", "2")))

    def test_the_successor_of_the_only_voter_with_a_disk_is_promoted_first(self):
        members = Members((member("a"), member("b", has_disk=False)))
        self.assertEqual(["a1b1", "a1b1a2", "b1a2"], self.steps(members, member("a", "2")))

    def test_a_first_host_is_admitted_and_an_unknown_host_is_not(self):
        members = Members((member("a"),))
        self.assertEqual(["a1", "a1b1"], self.steps(members, member("b")))
        self.assertEqual([], self.steps(members, member("z")))

    def test_a_removed_host_and_a_given_up_member_are_not_admitted(self):
        members = Members((member("a"),), removed=("b",), given_up=(MemberId("c", "1"),))
        self.assertEqual([], self.steps(members, member("b")))
        self.assertEqual([], self.steps(members, member("c")))

    def test_a_learner_that_lags_is_not_promoted(self):
        members = Members((member("a"),), (member("b"),))
        self.assertIsNone(next_membership_change(members, {}, set(), ("a", "b")))

    def test_a_first_host_is_not_admitted_while_an_earlier_change_is_uncommitted(self):
        members = Members((member("a"),))
        present = {"b": member("b")}
        self.assertIsNone(
            next_membership_change(members, present, set(), ("a", "b"), is_settled=False)
        )

    def test_forming_ends_with_a_majority_of_the_first_hosts(self):
        members = Members((member("a"),), (member("b"),), is_forming=True)
        changed = next_membership_change(members, {}, {MemberId("b", "1")}, ("a", "b", "c"))
        self.assertFalse(changed.is_forming)


class BootstrapHostTests(testtools.TestCase):
    def test_the_first_host_with_a_disk_bootstraps_the_cell(self):
        hosts = {"a": member("a", has_disk=False), "b": member("b"), "c": member("c")}
        self.assertEqual("b", bootstrap_host(hosts, "abc"))

    def test_the_next_host_bootstraps_if_the_first_may_only_join(self):
        """A first host that was restarted before the cell was formed kept it from forming."""
        hosts = {host: member(host) for host in "abc"}
        self.assertEqual("b", bootstrap_host(hosts, "abc", {"a"}))
        self.assertEqual("a", bootstrap_host(hosts, "abc", {"b"}))
        self.assertIsNone(bootstrap_host(hosts, "abc", set("abc")))

    def test_no_host_bootstraps_while_a_first_host_is_not_known_to_be_empty(self):
        self.assertIsNone(bootstrap_host({"a": member("a"), "b": member("b")}, "abc"))
