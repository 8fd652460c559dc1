"""Decide the next membership change, for hosts that are members or named in the settings.

A host that lost its data rejoins as a new incarnation in three steps: the new incarnation is added
as a learner and catches up, the old incarnation is removed, and the learner is promoted. Voters
change one at a time, as in section 4.1 of Ongaro's thesis. Removing the old voter before promoting
the new one needs the fewest live hosts at every moment, and a second loss of the same host between
the two steps does no harm. If the old incarnation is the only voter with a disk, nothing could be
committed after its removal, so the new one is promoted first.
"""

from collections.abc import Collection, Mapping
from dataclasses import replace

from agateferry_state.members.members import Member, MemberId, Members

MAX_VOTERS = 7


def next_membership_change(
    members: Members,
    present: Mapping[str, Member],
    caught_up: Collection[MemberId],
    first_hosts: Collection[str],
    is_settled: bool = True,
) -> Members | None:
    """Return the members that should follow `members`, or None if no change is needed.

    `present` maps a host name to the member whose latest confirmed greeting proved that it runs
    there. `caught_up` are the members that hold every committed entry. `first_hosts` are the names
    of the hosts that form the cell according to its settings.

    `is_settled` is false while an earlier change is not yet committed. Then only new incarnations
    of hosts that are already members are admitted, as learners. This is safe, because learners
    count in no majority; and it is necessary, because after the loss of the only disk nothing can
    be committed until the new incarnation of that host is a learner.

    For example, with voters a/1, b/1, c/1 and a/2 present, successive calls return: a/2 as a
    learner, a/1 removed, a/2 as a voter.
    """
    admitted = _admit(members, present, first_hosts if is_settled else ())
    if admitted is not None or not is_settled:
        return admitted
    return _remove_older_incarnation(members) or _promote(members, caught_up, first_hosts)


def is_viable(members: Members) -> bool:
    """Return whether these members can commit at all, which needs a voter with a disk."""
    return any(m.has_disk for m in members.voters)


def bootstrap_host(
    hosts: Mapping[str, Member], first_hosts: Collection[str], joining: Collection[str] = ()
) -> str | None:
    """Return the host that bootstraps a new cell, or None while that is not safe.

    `hosts` are the hosts known to have an empty log; all of `first_hosts` must be among them. Every
    host computes the same answer, so that hosts that restart in two groups never form two cells.
    Those in `joining` may only join a cell.
    """
    if not first_hosts or not set(first_hosts) <= set(hosts):
        return None
    return min((h for h in first_hosts if hosts[h].has_disk and h not in joining), default=None)


def _admit(
    members: Members, present: Mapping[str, Member], first_hosts: Collection[str]
) -> Members | None:
    known_hosts = {m.id.host for m in members.all} | set(first_hosts)
    for host in sorted(present):
        member_id = present[host].id
        may_join = host in known_hosts and host not in members.removed
        if may_join and members.find(member_id) is None and member_id not in members.given_up:
            return members.with_learner(present[host])
    return None


def _remove_older_incarnation(members: Members) -> Members | None:
    """Remove the older of two voters on one host; newer voters come later in `voters`."""
    for position, voter in enumerate(members.voters):
        newer_voters = members.voters[position + 1 :]
        if any(m.id.host == voter.id.host for m in newer_voters):
            return members.without(voter.id)
    return None


def _promote(
    members: Members, caught_up: Collection[MemberId], first_hosts: Collection[str]
) -> Members | None:
    for learner in members.learners:
        if learner.id not in caught_up:
            continue
        predecessor = next((m for m in members.voters if m.id.host == learner.id.host), None)
        if predecessor is not None and is_viable(members.without(predecessor.id)):
            return members.without(predecessor.id)
        if predecessor is not None or len(members.voters) < MAX_VOTERS:
            return _update_is_forming(members.with_voter(learner), first_hosts)
    return None


def _update_is_forming(members: Members, first_hosts: Collection[str]) -> Members:
    is_forming = members.is_forming and len(members.voters) * 2 <= len(first_hosts)
    return replace(members, is_forming=is_forming)
