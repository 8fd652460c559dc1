"""Client requests: proposals, linearizable reads and leadership transfer.

A read is answered while the leader lease is valid, or once a quorum confirmed a round that began
after the read (ReadIndex; Ongaro 2014, section 6.4). Both are checked at the end of each step,
against the time passed to that step.
"""

from agateferry_state.replication import leader
from agateferry_state.replication.leader_state import PendingRead
from agateferry_state.replication.messages import (
    EntryKind,
    ProposalAccepted,
    ProposalRejected,
    Proposed,
    ReadReady,
    ReadRejected,
    ReadRequested,
    RejectReason,
)
from agateferry_state.replication.state import Role, State


def on_proposed(state: State, event: Proposed) -> None:
    """Append a proposed command, or reject it with the reason."""
    reason = _proposal_rejection(state)
    if reason is not None:
        state.emit(ProposalRejected(event.proposal_id, reason, state.leader))
        return
    entry = leader.append(state, EntryKind.COMMAND, event.data)
    state.emit(ProposalAccepted(event.proposal_id, entry.index, entry.term))


def on_read(state: State, event: ReadRequested) -> None:
    """Queue a read until it can be answered, or reject it with the known leader."""
    leader_state = state.leader_state
    if leader_state is None:
        reason = _storage_failed_or(state, RejectReason.NOT_LEADER)
        state.emit(ReadRejected(event.read_id, reason, state.leader))
        return
    leader_state.pending_reads.append(PendingRead(event.read_id, leader_state.lease.round + 1))
    if not leader_state.lease.is_valid(state.now_ms):
        leader_state.is_round_requested = True


def answer_reads(state: State) -> None:
    """Answer the pending reads that the lease or a confirmed round allows now."""
    leader_state = state.leader_state
    if leader_state is None or state.applied_index < leader_state.term_start_index:
        return
    lease = leader_state.lease
    waiting = []
    for read in leader_state.pending_reads:
        if lease.is_valid(state.now_ms):
            state.emit(ReadReady(read.read_id, state.applied_index, lease.valid_until_ms))
        elif lease.confirmed_round >= read.round:
            state.emit(ReadReady(read.read_id, state.applied_index, 0))
        else:
            waiting.append(read)
    leader_state.pending_reads = waiting
    if waiting and lease.round < max(r.round for r in waiting):
        leader_state.is_round_requested = True


def on_transfer(state: State) -> None:
    """Start a leadership transfer to the most caught-up voter that answered recently.

    Proposals are rejected until the transfer ends or `election_timeout_max_ms` has passed.
    """
    leader_state = state.leader_state
    if leader_state is None:
        return
    recent = leader_state.recently_acked(state.now_ms, state.settings.election_timeout_min_ms)
    voters = state.log.members.voter_ids & recent
    if not voters:
        return
    best = max(voters, key=lambda m: (leader_state.peers[m].match_index, m))
    leader_state.transfer_target = best
    leader_state.transfer_deadline_ms = state.now_ms + state.settings.election_timeout_max_ms


def _proposal_rejection(state: State) -> RejectReason | None:
    leader_state = state.leader_state
    if leader_state is None:
        return _storage_failed_or(state, RejectReason.NOT_LEADER)
    if leader_state.transfer_target is not None or state.log.members.is_forming:
        return RejectReason.NOT_READY
    unapplied = state.log.last_index - state.applied_index
    if unapplied >= state.settings.max_unapplied_entries:
        return RejectReason.BUSY
    return None


def _storage_failed_or(state: State, reason: RejectReason) -> RejectReason:
    return RejectReason.STORAGE_FAILED if state.role is Role.FAILED else reason
