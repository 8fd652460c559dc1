"""Which sets of members may elect a leader, and which may commit.

A majority elects. An entry is committed once a majority holds it and at least one of the holders
has it synced on a disk; hosts with no disk hold it in memory. This is the rule of van Renesse and
Tanenbaum, "Voting with Ghosts", 2.2, that a write quorum needs one stable copy.

When a whole cell went down, the memory of its members with no disk is gone and a majority may be
out of reach for ever. Each such member whose host runs a newer incarnation is *superseded*: it can
never vote or hold anything again. The members with a disk together hold every committed entry, so
all of them at once, with every other voter superseded, may elect as well. That is the paper's
recovery once all comatose copies are back.
"""

from collections.abc import Callable, Collection, Mapping

from agateferry_state.members.members import MemberId, Members


def is_majority(members: Members, ids: Collection[MemberId]) -> bool:
    """Tell whether more than half of the voters are among `ids`."""
    count = sum(1 for m in members.voters if m.id in ids)
    return count * 2 > len(members.voters)


def includes_all_survivors(
    members: Members, ids: Collection[MemberId], superseded: Collection[MemberId]
) -> bool:
    """Tell whether every voter is in `ids` or is superseded and has no disk."""
    missing = [m for m in members.voters if m.id not in ids]
    gone = all(m.id in superseded and not m.has_disk for m in missing)
    return gone and _has_disk(members, ids)


def can_commit(
    members: Members, holders: Collection[MemberId], superseded: Collection[MemberId]
) -> bool:
    """Tell whether an entry that these members hold durably is committed.

    The disk copy may be that of a learner that takes the place of a superseded voter with a disk:
    that voter can never come back to recover without it.
    """
    enough = is_majority(members, holders) or includes_all_survivors(members, holders, superseded)
    if not enough:
        return False
    lost_hosts = {m.id.host for m in members.voters if m.has_disk and m.id in superseded}
    successors = [m for m in members.learners if m.has_disk and m.id.host in lost_hosts]
    return _has_disk(members, holders) or any(m.id in holders for m in successors)


def highest_value_reached(
    values: Mapping[MemberId, int], suffices: Callable[[set[MemberId]], bool]
) -> int:
    """Return the highest value that a sufficient set of members has reached, or 0."""
    for value in sorted(set(values.values()), reverse=True):
        if suffices({m for m, reached in values.items() if reached >= value}):
            return value
    return 0


def extra_holders_required(
    old: Members, new: Members, superseded: Collection[MemberId]
) -> frozenset[MemberId]:
    """Return the voters that must hold a change of members besides a quorum of the new ones.

    Where some voters have no disk, the disks of the old members could recover without knowing of
    a disk that was added meanwhile. So each of them must know of it before it counts.
    """
    added = [m for m in new.voters if m.has_disk and not old.is_voter(m.id)]
    if not added or all(m.has_disk for m in old.voters + new.voters):
        return frozenset()
    return frozenset(m.id for m in old.voters if m.has_disk and m.id not in superseded)


def _has_disk(members: Members, ids: Collection[MemberId]) -> bool:
    return any(m.has_disk and m.id in ids for m in members.voters)
