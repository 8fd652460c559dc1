"""Decide membership changes of a cell that replaces silent hosts without an operator.

Any host with a disk is admitted as a learner, unless an operator removed it or a forced recovery
excluded it. It replaces a voter that was silent for `replace_after_ms`, or becomes an additional
voter if that makes the number of voters odd. A replaced voter that returns is admitted as a learner
too, with the log that it had. A learner that was silent for as long is removed; if it runs, it
makes itself known again.
"""

from collections.abc import Collection, Mapping

from agateferry_state.members.members import Member, MemberId, Members

MIN_VOTERS = 3
"""With fewer than three voters, the loss of one host stops the cell."""
MAX_AUTOMATIC_VOTERS = 5
"""Five voters tolerate the loss of two hosts; more voters would only add messages."""


def next_replacement(
    members: Members,
    present: Mapping[str, Member],
    caught_up: Collection[MemberId],
    silent: Collection[MemberId],
) -> Members | None:
    """Return the members that should follow `members`, or None if no change is needed.

    `present` maps a host name to the member that recently proved that it runs there. `caught_up`
    are the members that hold every committed entry, `silent` those that the leader has not heard
    for `replace_after_ms`. For example, with voters a, b and c, if learner d has caught up and a is
    silent, the result has voters b and c.
    """
    return (
        _admit(members, present)
        or _remove_silent(members, caught_up, silent)
        or _remove_silent_learner(members, present, silent)
    )


def promotable_learners(
    members: Members, caught_up: Collection[MemberId], stopping: Collection[MemberId] = ()
) -> set[MemberId]:
    """Return the learners that may be promoted to voters, out of `caught_up`.

    A learner on the host of a voter may always be promoted, to replace that voter. Any learner may
    while the cell forms, has fewer than three voters or has an even number of them. With an odd
    number, learners are promoted only if at least two are ready and two more voters do not exceed
    `MAX_AUTOMATIC_VOTERS`, so that the number can stay odd, or if a voter is in `stopping`. Such a
    voter votes until the learner does, so that another host may be lost meanwhile.
    """
    voter_hosts = {m.id.host for m in members.voters}
    ready_learners = {m.id for m in members.learners if m.id in caught_up}
    successors = {member_id for member_id in ready_learners if member_id.host in voter_hosts}
    count = len(members.voters)
    is_voter_stopping = any(members.is_voter(member_id) for member_id in stopping)
    if members.is_forming or count < MIN_VOTERS or count % 2 == 0 or is_voter_stopping:
        return ready_learners
    if len(ready_learners) >= 2 and count + 2 <= MAX_AUTOMATIC_VOTERS:
        return ready_learners
    return successors


def _admit(members: Members, present: Mapping[str, Member]) -> Members | None:
    for host in sorted(present):
        member = present[host]
        is_barred = host in members.removed or member.id in members.given_up
        if member.has_disk and not is_barred and members.find(member.id) is None:
            return members.with_learner(member)
    return None


def _remove_silent(
    members: Members, caught_up: Collection[MemberId], silent: Collection[MemberId]
) -> Members | None:
    """Remove one silent voter if a learner can replace it, or if the number of voters is even."""
    has_replacement = any(m.id in caught_up and m.has_disk for m in members.learners)
    count = len(members.voters)
    if not has_replacement and (count % 2 or count <= MIN_VOTERS):
        return None
    for voter in members.voters:
        if voter.id in silent:
            return members.without(voter.id)
    return None


def _remove_silent_learner(
    members: Members, present: Mapping[str, Member], silent: Collection[MemberId]
) -> Members | None:
    """Remove one silent learner, unless it was just confirmed to run and has not answered yet."""
    running = {member.id for member in present.values()}
    for learner in members.learners:
        if learner.id in silent and learner.id not in running:
            return members.without(learner.id)
    return None
