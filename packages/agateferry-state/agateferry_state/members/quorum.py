"""Decide which sets of members may elect a leader and which may commit an entry.

A majority elects. An entry is committed once a majority holds it and at least one of the holders
has it synced on a disk; hosts without a disk hold it in memory. This is the rule of van Renesse
and Tanenbaum, "Voting with Ghosts", 2.2, that a write quorum needs one stable copy.

After a whole cell went down, the memory of its members without a disk is lost, and a majority may
never be reachable again. A member whose host runs a newer incarnation is *superseded*: it can
never vote or hold entries again. The members with a disk together hold every committed entry, so
all of them together may also elect a leader if every other voter is superseded. In the paper, this
is the recovery once all comatose copies are back.
"""

from collections.abc import Callable, Collection, Mapping

from agateferry_state.members.members import MemberId, Members


def is_majority(members: Members, ids: Collection[MemberId]) -> bool:
    """Return whether more than half of the voters are among `ids`."""
    count = sum(1 for m in members.voters if m.id in ids)
    return count * 2 > len(members.voters)


def includes_all_survivors(
    members: Members, ids: Collection[MemberId], superseded: Collection[MemberId]
) -> bool:
    """Return whether every voter is in `ids`, except superseded voters without a disk.

    At least one of the voters in `ids` must have a disk.
    """
    missing = [m for m in members.voters if m.id not in ids]
    are_lost = all(m.id in superseded and not m.has_disk for m in missing)
    return are_lost and _includes_disk(members, ids)


def can_commit(
    members: Members, holders: Collection[MemberId], superseded: Collection[MemberId]
) -> bool:
    """Return whether an entry that `holders` hold, synced where they have a disk, is committed.

    The copy on a disk may be that of a learner on the host of a superseded voter with a disk: that
    voter can never return and take part in a recovery without the learner.
    """
    has_quorum = is_majority(members, holders) or includes_all_survivors(
        members, holders, superseded
    )
    if not has_quorum:
        return False
    lost_hosts = {m.id.host for m in members.voters if m.has_disk and m.id in superseded}
    successors = [m for m in members.learners if m.has_disk and m.id.host in lost_hosts]
    return _includes_disk(members, holders) or any(m.id in holders for m in successors)


def highest_value_reached(
    values: Mapping[MemberId, int], is_enough: Callable[[set[MemberId]], bool]
) -> int:
    """Return the highest value that a set of members accepted by `is_enough` has reached, or 0.

    `values` are log indexes or round numbers that each member has reached.
    """
    for value in sorted(set(values.values()), reverse=True):
        if is_enough({m for m, reached in values.items() if reached >= value}):
            return value
    return 0


def extra_holders_required(
    old: Members, new: Members, superseded: Collection[MemberId]
) -> frozenset[MemberId]:
    """Return the voters of `old` that must hold the change to `new` before it is committed.

    They are required in addition to a quorum of `new`. If some voters have no disk, the old voters
    with a disk could recover together without knowing of a voter with a disk that was added since.
    So each of them, unless superseded, must hold the change that adds one.
    """
    added = [m for m in new.voters if m.has_disk and not old.is_voter(m.id)]
    if not added or all(m.has_disk for m in old.voters + new.voters):
        return frozenset()
    return frozenset(m.id for m in old.voters if m.has_disk and m.id not in superseded)


def _includes_disk(members: Members, ids: Collection[MemberId]) -> bool:
    return any(m.has_disk and m.id in ids for m in members.voters)
