"""Membership changes of a running cell, by the leader itself or at an operator's request.

Voters change one at a time: each change is committed before the next starts, and none starts before
the leader committed an entry of its own term. That last condition corrects the single-server
changes of Ongaro's thesis (Ongaro, "bug in single-server membership changes", raft-dev 2015).
"""

from dataclasses import replace

from expression import Error, Ok, Result

from agateferry_state.members import Member, MemberId, Members
from agateferry_state.members.admission import is_viable, next_membership_change
from agateferry_state.members.quorum import can_commit
from agateferry_state.members.replacement import next_replacement, promotable_learners
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
"""How long a confirmed greeting proves that a host runs; non-members greet more often than that."""


def propose_next_if_due(state: State) -> None:
    """Propose the next membership change that the leader makes by itself, with each heartbeat.

    A leader that was removed steps down once its removal is committed.
    """
    leader_state = state.leader_state
    if leader_state is None or state.now_ms < leader_state.heartbeat_due_ms:
        return
    is_settled = not _is_change_pending(state, leader_state)
    if is_settled and not state.is_voter:
        state.become_follower(state.term)
        return
    caught_up = _caught_up(state, leader_state) if is_settled else set()
    if state.settings.replaces_hosts:
        members = _next_automatic_change(state, leader_state, caught_up, is_settled)
    else:
        confirmed = {host: c.member for host, c in state.confirmed_members.items()}
        hosts = state.settings.first_host_names
        members = next_membership_change(state.log.members, confirmed, caught_up, hosts, is_settled)
    if members is not None:
        leader.append(state, EntryKind.MEMBERS, members.encode())


def _next_automatic_change(
    state: State, leader_state: LeaderState, caught_up: set[MemberId], is_settled: bool
) -> Members | None:
    """Return the next change in a cell that replaces hosts without an operator, or None.

    Members count as silent only once this member has led for `replace_after_ms`. A voter that is
    about to stop counts as silent at once.
    """
    members = state.log.members
    confirmed = _running_members(state)
    hosts = state.settings.first_host_names
    stopping = {peer for peer, progress in leader_state.peers.items() if progress.is_stopping}
    caught_up = caught_up - stopping
    ready = promotable_learners(members, caught_up, stopping)
    change = next_membership_change(members, confirmed, ready, hosts, is_settled)
    if change is not None or not is_settled:
        return change
    alive = leader_state.recently_acked(state.now_ms, state.settings.replace_after_ms)
    leader_for_ms = state.now_ms - leader_state.started_ms
    silent = {m.id for m in members.all} - alive - {state.me.id}
    if leader_for_ms < state.settings.replace_after_ms:
        silent = set()
    silent |= stopping & members.voter_ids
    return next_replacement(members, confirmed, caught_up, silent)


def _running_members(state: State) -> dict[str, Member]:
    """Return the member of each host name that was confirmed to run there a short time ago."""
    return {
        host: c.member
        for host, c in state.confirmed_members.items()
        if state.now_ms - c.confirmed_ms <= HOST_CONFIRMED_MAX_AGE_MS
    }


def on_change_requested(state: State, event: MemberChangeRequested) -> None:
    """Append an operator's change, or reject it with the reason."""
    match plan_change(state, event.action, event.member.id.host):
        case Result(tag="ok", ok=members):
            entry = leader.append(state, EntryKind.MEMBERS, members.encode())
            state.emit(ProposalAccepted(event.proposal_id, entry.index, entry.term))
        case Result(error=reason):
            state.emit(ProposalRejected(event.proposal_id, reason, state.leader))


def plan_change(state: State, action: MemberAction, host: str) -> Result[Members, RejectReason]:
    """Return the members after an operator's change, or why it would be rejected."""
    leader_state = state.leader_state
    if leader_state is None:
        return Error(RejectReason.NOT_LEADER)
    if _is_change_pending(state, leader_state):
        return Error(RejectReason.BUSY)
    if action is MemberAction.ADMIT:
        return _plan_admission(state, host)
    return _plan_removal(state, leader_state, host)


def force_recovery(state: State, event: RecoveryForced) -> None:
    """Make this member the only voter and leader, if every other voter is lost or superseded."""
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
    """Return the members after a forced recovery, or why it would be rejected.

    It is unsafe on a host that is no voter in its own log: that log may lack every committed entry.
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
    confirmed = state.confirmed_members.get(host)
    if confirmed is None:
        is_member = any(m.id.host == host for m in members.all)
        return Error(RejectReason.NOT_NEEDED if is_member else RejectReason.NOT_READY)
    if members.find(confirmed.member.id) is not None:
        return Error(RejectReason.NOT_NEEDED)
    if confirmed.member.id in members.given_up:
        return Error(RejectReason.UNSAFE)
    return Ok(members.with_learner(confirmed.member))


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
