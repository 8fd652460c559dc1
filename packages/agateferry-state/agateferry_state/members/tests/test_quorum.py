import itertools

import testtools

from agateferry_state.members import Member, MemberId, Members
from agateferry_state.members.quorum import (
    can_commit,
    extra_holders_required,
    highest_value_reached,
    includes_all_survivors,
    is_majority,
)


def cell(disks):
    return Members(tuple(Member(MemberId(h, "1"), d) for h, d in zip("abcde", disks, strict=False)))


def subsets(items):
    items = sorted(items)
    return itertools.chain.from_iterable(
        itertools.combinations(items, n) for n in range(len(items) + 1)
    )


class QuorumTests(testtools.TestCase):
    def test_a_majority_without_a_disk_commits_nothing(self):
        members = cell((True, False, False))
        ids = sorted(members.voter_ids)
        self.assertTrue(is_majority(members, ids[1:]))
        self.assertFalse(can_commit(members, ids[1:], ()))
        self.assertTrue(can_commit(members, ids[:2], ()))

    def test_the_disk_of_a_successor_counts_once_the_old_one_is_superseded(self):
        members = cell((True, False, False)).with_learner(Member(MemberId("a", "2")))
        holders = {MemberId("a", "2"), MemberId("b", "1"), MemberId("c", "1")}
        self.assertFalse(can_commit(members, holders, ()))
        self.assertTrue(can_commit(members, holders, {MemberId("a", "1")}))

    def test_every_electing_set_overlaps_every_committing_set(self):
        for disks in itertools.product((True, False), repeat=4):
            members = cell(disks)
            superseded = {m.id for m in members.voters if not m.has_disk}
            for holders in subsets(members.voter_ids):
                if can_commit(members, holders, ()):
                    self.assert_overlaps_electing_sets(members, set(holders), superseded)

    def assert_overlaps_electing_sets(self, members, holders, superseded):
        for voters in subsets(members.voter_ids):
            if is_majority(members, voters) or includes_all_survivors(members, voters, superseded):
                self.assertTrue(holders & set(voters), (members, holders, voters))

    def test_highest_value_that_a_majority_reached(self):
        members = cell((True, True, True))
        values = dict(zip(sorted(members.voter_ids), (7, 5, 3), strict=True))
        self.assertEqual(5, highest_value_reached(values, lambda ids: is_majority(members, ids)))

    def test_old_voters_with_a_disk_must_hold_the_addition_of_another(self):
        old = cell((True, False, False))
        new = old.with_voter(Member(MemberId("d", "1")))
        self.assertEqual({MemberId("a", "1")}, extra_holders_required(old, new, ()))
        self.assertEqual(set(), extra_holders_required(old, new, {MemberId("a", "1")}))

    def test_no_extra_holder_is_required_if_all_voters_have_disks(self):
        old = cell((True, True))
        new = old.with_voter(Member(MemberId("d", "1")))
        self.assertEqual(set(), extra_holders_required(old, new, ()))
