"""How members of a running cell change, by the leader's own care or an operator's word.

One change of voters at a time, each committed before the next, and none before the leader committed
an entry of its own term: the condition that corrects the single-server changes of the thesis
(Ongaro, "bug in single-server membership changes", raft-dev 2015).
"""

from dataclasses import replace

from agateferry_state.members import Member, MemberId, Members
from agateferry_state.members.admission import is_viable, next_change
from agateferry_state.members.quorum import can_commit
from agateferry_state.replication import leader
from agateferry_state.replication.election import RECOVERY_TERM_STEP
from agateferry_state.replication.leading import Leading
from agateferry_state.replication.messages import (
    EntryKind,
    MemberAction,
    MemberChangeRequested,
    ProposalAccepted,
    ProposalRejected,
    RecoveryForced,
    RejectReason,
)
from agateferry_state.replication.state import Role, State


def on_time(state: State) -> None:
    """With each heartbeat, take the next step towards the members that should be.

    A leader that was removed stops leading once its removal is committed.
    """
    leading = state.leading
    if leading is None or state.now_ms < leading.heartbeat_due_ms:
        return
    is_settled = not _is_change_open(state, leading)
    if is_settled and not state.is_voter:
        state.become_follower(state.term)
        return
    present = {host: p.member for host, p in state.present.items()}
    caught_up = _caught_up(state, leading) if is_settled else set()
    hosts = state.settings.first_host_names
    members = next_change(state.log.members, present, caught_up, hosts, is_settled)
    if members is not None:
        leader.append(state, EntryKind.MEMBERS, members.encode())


def on_requested(state: State, event: MemberChangeRequested) -> None:
    """Carry out an operator's change, or say why not."""
    leading = state.leading
    if leading is None:
        _reject(state, event, RejectReason.NOT_LEADER)
        return
    if _is_change_open(state, leading):
        _reject(state, event, RejectReason.BUSY)
        return
    if event.action is MemberAction.ADMIT:
        members, problem = _admitted(state, event.member.id.host)
    else:
        members, problem = _removed(state, leading, event.member.id.host)
    if problem is not None:
        _reject(state, event, problem)
        return
    entry = leader.append(state, EntryKind.MEMBERS, members.encode())
    state.emit(ProposalAccepted(event.proposal_id, entry.index, entry.term))


def recover(state: State, event: RecoveryForced) -> None:
    """Make this member the only voter and lead, where every other voter is named as lost."""
    old = state.log.members
    others = tuple(m.id for m in old.all if m.id != state.me.id)
    gone = event.lost | state.superseded | {state.me.id}
    if state.role is Role.LEADER or not old.voter_ids <= gone:
        if event.proposal_id:
            reason = RejectReason.NOT_NEEDED if state.leading else RejectReason.UNSAFE
            state.emit(ProposalRejected(event.proposal_id, reason, state.leader))
        return
    given_up = (*old.given_up, *others)
    members = Members(voters=(state.me,), removed=old.removed, given_up=given_up)
    state.enter_term(state.term + RECOVERY_TERM_STEP, state.me.id)
    leader.start(state, members)
    if event.proposal_id:
        state.emit(ProposalAccepted(event.proposal_id, state.log.members_index, state.term))


def _is_change_open(state: State, leading: Leading) -> bool:
    return state.commit_index < max(leading.start_index, state.log.members_index)


def _caught_up(state: State, leading: Leading) -> set[MemberId]:
    recent = leading.recently_acked(state.now_ms, state.settings.election_timeout_min_ms)
    return {m for m in recent if leading.peers[m].match_index >= state.commit_index}


def _admitted(state: State, host: str) -> tuple[Members, RejectReason | None]:
    members = state.log.members
    members = replace(members, removed=tuple(h for h in members.removed if h != host))
    present = state.present.get(host)
    if present is None:
        return members, RejectReason.NOT_READY
    if members.find(present.member.id) is not None:
        return members, RejectReason.NOT_NEEDED
    return members.with_learner(present.member), None


def _removed(state: State, leading: Leading, host: str) -> tuple[Members, RejectReason | None]:
    members = state.log.members
    doomed: list[Member] = [m for m in members.all if m.id.host == host]
    if not doomed:
        return members, RejectReason.NOT_NEEDED
    if sum(1 for m in doomed if members.is_voter(m.id)) > 1:
        return members, RejectReason.BUSY
    for member in doomed:
        members = members.without(member.id)
    members = replace(members, removed=(*(h for h in members.removed if h != host), host))
    alive = leading.recently_acked(state.now_ms, state.settings.election_timeout_min_ms)
    alive.add(state.me.id)
    if not is_viable(members) or not can_commit(members, alive, state.superseded):
        return members, RejectReason.UNSAFE
    return members, None


def _reject(state: State, event: MemberChangeRequested, reason: RejectReason) -> None:
    state.emit(ProposalRejected(event.proposal_id, reason, state.leader))
