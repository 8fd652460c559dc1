"""How members of a running cell change, by the leader's own care or an operator's word.

One change of voters at a time, each committed before the next, and none before the leader committed
an entry of its own term: the condition that corrects the single-server changes of the thesis
(Ongaro, "bug in single-server membership changes", raft-dev 2015).
"""

from dataclasses import replace

from expression import Error, Ok, Result

from agateferry_state.members import Member, MemberId, Members
from agateferry_state.members.admission import is_viable, next_change
from agateferry_state.members.quorum import can_commit
from agateferry_state.members.replacement import next_replacement, promotable
from agateferry_state.replication import leader
from agateferry_state.replication.election import RECOVERY_TERM_STEP
from agateferry_state.replication.leader_state import LeaderState
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

HOST_CONFIRMED_MAX_AGE_MS = 3000
"""How long a greeting proves that a host runs; one that is left out greets more often."""


def propose_next_if_due(state: State) -> None:
    """With each heartbeat, take the next step towards the members that should be.

    A leader that was removed stops leading once its removal is committed.
    """
    leader_state = state.leader_state
    if leader_state is None or state.now_ms < leader_state.heartbeat_due_ms:
        return
    is_settled = not _is_change_pending(state, leader_state)
    if is_settled and not state.is_voter:
        state.become_follower(state.term)
        return
    present = {host: p.member for host, p in state.confirmed_members.items()}
    caught_up = _caught_up(state, leader_state) if is_settled else set()
    hosts = state.settings.first_host_names
    if state.settings.replaces_hosts:
        members = _next_automatic_change(state, leader_state, present, caught_up, is_settled)
    else:
        members = next_change(state.log.members, present, caught_up, hosts, is_settled)
    if members is not None:
        leader.append(state, EntryKind.MEMBERS, members.encode())


def _next_automatic_change(
    state: State,
    leader_state: LeaderState,
    present: dict[str, Member],
    caught_up: set[MemberId],
    is_settled: bool,
) -> Members | None:
    """Return the next change in a cell that lets hosts in and out without an operator."""
    members = state.log.members
    hosts = state.settings.first_host_names
    ready = promotable(members, caught_up)
    change = next_change(members, present, ready, hosts, is_settled)
    if change is not None or not is_settled:
        return change
    fresh = {
        host: p.member
        for host, p in state.confirmed_members.items()
        if state.now_ms - p.confirmed_ms <= HOST_CONFIRMED_MAX_AGE_MS
    }
    alive = leader_state.recently_acked(state.now_ms, state.settings.replace_after_ms)
    led_ms = state.now_ms - leader_state.started_ms
    silent = members.voter_ids - alive - {state.me.id}
    if led_ms < state.settings.replace_after_ms:
        silent = frozenset()
    return next_replacement(members, fresh, caught_up, silent)


def on_change_requested(state: State, event: MemberChangeRequested) -> None:
    """Carry out an operator's change, or say why not."""
    match plan_change(state, event.action, event.member.id.host):
        case Result(tag="ok", ok=members):
            entry = leader.append(state, EntryKind.MEMBERS, members.encode())
            state.emit(ProposalAccepted(event.proposal_id, entry.index, entry.term))
        case Result(error=reason):
            state.emit(ProposalRejected(event.proposal_id, reason, state.leader))


def plan_change(state: State, action: MemberAction, host: str) -> Result[Members, RejectReason]:
    """Return the members that an operator's change would make, or why it would be refused."""
    leader_state = state.leader_state
    if leader_state is None:
        return Error(RejectReason.NOT_LEADER)
    if _is_change_pending(state, leader_state):
        return Error(RejectReason.BUSY)
    if action is MemberAction.ADMIT:
        return _plan_admission(state, host)
    return _plan_removal(state, leader_state, host)


def force_recovery(state: State, event: RecoveryForced) -> None:
    """Make this member the only voter and lead, where every other voter is named as lost."""
    match plan_recovery(state, event.lost):
        case Result(tag="ok", ok=members):
            state.enter_term(state.term + RECOVERY_TERM_STEP, state.me.id)
            leader.become_leader(state, members)
            if event.proposal_id:
                index = state.log.members_index
                state.emit(ProposalAccepted(event.proposal_id, index, state.term))
        case Result(error=reason):
            if event.proposal_id:
                state.emit(ProposalRejected(event.proposal_id, reason, state.leader))


def plan_recovery(state: State, lost: frozenset[MemberId]) -> Result[Members, RejectReason]:
    """Return the members that a forced recovery would make, or why it would be refused.

    A host that is no voter in its own log may hold nothing of what was accepted.
    """
    if state.role is Role.LEADER:
        return Error(RejectReason.NOT_NEEDED)
    old = state.log.members
    if not state.is_voter or not old.voter_ids <= lost | state.superseded | {state.me.id}:
        return Error(RejectReason.UNSAFE)
    others = tuple(m.id for m in old.all if m.id != state.me.id)
    given_up = (*old.given_up, *others)
    return Ok(Members(voters=(state.me,), removed=old.removed, given_up=given_up))


def _is_change_pending(state: State, leader_state: LeaderState) -> bool:
    return state.commit_index < max(leader_state.term_start_index, state.log.members_index)


def _caught_up(state: State, leader_state: LeaderState) -> set[MemberId]:
    recent = leader_state.recently_acked(state.now_ms, state.settings.election_timeout_min_ms)
    return {m for m in recent if leader_state.peers[m].match_index >= state.commit_index}


def _plan_admission(state: State, host: str) -> Result[Members, RejectReason]:
    members = state.log.members
    members = replace(members, removed=tuple(h for h in members.removed if h != host))
    present = state.confirmed_members.get(host)
    if present is None:
        is_member = any(m.id.host == host for m in members.all)
        return Error(RejectReason.NOT_NEEDED if is_member else RejectReason.NOT_READY)
    if members.find(present.member.id) is not None:
        return Error(RejectReason.NOT_NEEDED)
    if present.member.id in members.given_up:
        return Error(RejectReason.UNSAFE)
    return Ok(members.with_learner(present.member))


def _plan_removal(
    state: State, leader_state: LeaderState, host: str
) -> Result[Members, RejectReason]:
    members = state.log.members
    host_members: list[Member] = [m for m in members.all if m.id.host == host]
    if not host_members:
        return Error(RejectReason.NOT_NEEDED)
    if sum(1 for m in host_members if members.is_voter(m.id)) > 1:
        return Error(RejectReason.BUSY)
    for member in host_members:
        members = members.without(member.id)
    members = replace(members, removed=(*(h for h in members.removed if h != host), host))
    alive = leader_state.recently_acked(state.now_ms, state.settings.election_timeout_min_ms)
    alive.add(state.me.id)
    if not is_viable(members) or not can_commit(members, alive, state.superseded):
        return Error(RejectReason.UNSAFE)
    return Ok(members)
