"""Which change of members a leader makes next.

The steps to take a lost host back are a learner that catches up, the removal of the incarnation
that is gone, and the promotion of the learner: one voter at a time, as in section 4.1 of Ongaro's
thesis. Removing first needs the fewest live hosts at every moment, and a second loss of the same
host in between costs nothing. Where the lost one was the only voter with a disk, nothing could be
committed without it, so there the new one is added first.
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
    """Return the members that should follow `members`, or None where all is well.

    Where an earlier change is not committed yet, `is_settled` is false and only new incarnations
    of known hosts are let in as learners: they count in no majority, and after the loss of the
    only disk nothing can be committed before its successor is one of them.

    `present` has, for each host name, the member that proved to run there now. For example with
    voters a/1, b/1, c/1 and a/2 present, the answers are, one after the other: a/2 as learner, a/1
    removed, a/2 as voter.
    """
    admitted = _admit(members, present, first_hosts if is_settled else ())
    if admitted is not None or not is_settled:
        return admitted
    return _remove_doubled(members) or _promote(members, caught_up, first_hosts)


def is_viable(members: Members) -> bool:
    """Tell whether these members can commit anything at all."""
    return any(m.has_disk for m in members.voters)


def bootstrap_host(hosts: Mapping[str, Member], first_hosts: Collection[str]) -> str | None:
    """Return the host that starts a new cell, given that all of `hosts` are empty.

    Only one host may do it, so that two halves of a restart never make two cells.
    """
    if not first_hosts or not set(first_hosts) <= set(hosts):
        return None
    return min((h for h in first_hosts if hosts[h].has_disk), default=None)


def _admit(
    members: Members, present: Mapping[str, Member], first_hosts: Collection[str]
) -> Members | None:
    known_hosts = {m.id.host for m in members.all} | set(first_hosts)
    for host in sorted(present):
        member_id = present[host].id
        wanted = host in known_hosts and host not in members.removed
        if wanted and members.find(member_id) is None and member_id not in members.given_up:
            return members.with_learner(present[host])
    return None


def _remove_doubled(members: Members) -> Members | None:
    """Remove the older of two voters of one host; the newer one stands later in the tuple."""
    for position, voter in enumerate(members.voters):
        later = members.voters[position + 1 :]
        if any(m.id.host == voter.id.host for m in later):
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
            return _formed(members.with_voter(learner), first_hosts)
    return None


def _formed(members: Members, first_hosts: Collection[str]) -> Members:
    forming = members.is_forming and len(members.voters) * 2 <= len(first_hosts)
    return replace(members, is_forming=forming)
