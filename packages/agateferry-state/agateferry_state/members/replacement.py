"""Members of a cell that heals itself: hosts come and go without an operator.

A host that was not among the first ones is let in as a learner. It takes the place of a voter that
has been silent for long, or votes besides where that makes the number of voters odd. A voter that
was replaced and comes back is a learner like any other, with the log it had.
"""

from collections.abc import Collection, Mapping

from agateferry_state.members.members import Member, MemberId, Members

MIN_VOTERS = 3
"""A cell that loses a host needs three voters to go on."""
MAX_SELF_MADE_VOTERS = 5
"""Five voters bear the loss of two hosts; more only cost messages."""


def next_replacement(
    members: Members,
    present: Mapping[str, Member],
    caught_up: Collection[MemberId],
    silent: Collection[MemberId],
) -> Members | None:
    """Return the members that should follow, or None where nothing is to be replaced.

    `present` holds hosts that lately proved to run, `silent` the voters that were not heard for
    long. For example with voters a, b, c, learner d caught up and a silent, the answer is b, c.
    """
    return _admit(members, present) or _remove_silent(members, caught_up, silent)


def promotable_learners(members: Members, caught_up: Collection[MemberId]) -> set[MemberId]:
    """Return the learners that may vote now.

    A successor on the same host always may, and any learner while the cell forms or has an even
    number of voters. A cell with an odd number grows by two at once.
    """
    voter_hosts = {m.id.host for m in members.voters}
    ready = {m.id for m in members.learners if m.id in caught_up}
    successors = {each for each in ready if each.host in voter_hosts}
    count = len(members.voters)
    if members.is_forming or count < MIN_VOTERS or count % 2 == 0:
        return ready
    if len(ready) >= 2 and count + 2 <= MAX_SELF_MADE_VOTERS:
        return ready
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
    """Remove one silent voter where a learner can follow it or where the number is even."""
    has_successor = any(m.id in caught_up and m.has_disk for m in members.learners)
    count = len(members.voters)
    if not has_successor and (count % 2 or count <= MIN_VOTERS):
        return None
    for voter in members.voters:
        if voter.id in silent:
            return members.without(voter.id)
    return None
