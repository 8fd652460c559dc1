"""The leader: heartbeats, log replication, commit, and stepping down.

Entries are sent to followers in batches, several of them in flight, in parallel with the leader's
own write to disk. A leader that no quorum answers steps down (check quorum), so that one whose
messages are lost in either direction lets another member be elected.
"""

from agateferry_state.members import MemberId, Members
from agateferry_state.members.quorum import (
    can_commit,
    extra_holders_required,
    highest_value_reached,
)
from agateferry_state.replication import acks, snapshots
from agateferry_state.replication.leader_state import LeaderState, Progress
from agateferry_state.replication.lease import Lease
from agateferry_state.replication.messages import (
    AppendRequest,
    AppendResponse,
    EntryKind,
    LogEntry,
    TimeoutNow,
)
from agateferry_state.replication.state import Role, State


def become_leader(state: State, members: Members | None = None) -> None:
    """Become leader and append the first entry of this term.

    The entry sets `members` where given (a bootstrap or forced recovery), else it is a no-op.
    """
    state.role = Role.LEADER
    state.leader = state.me.id
    lease = Lease(state.settings.lease_ms, state.now_ms)
    state.leader_state = LeaderState(lease, state.log.last_index + 1, state.now_ms)
    if members is None:
        append(state, EntryKind.NOOP, b"")
    else:
        append(state, EntryKind.MEMBERS, members.encode())


def append(state: State, kind: EntryKind, data: bytes) -> LogEntry:
    """Append an entry of the current term; it is sent to the followers at the end of the step.

    Raises ValueError unless this member leads.
    """
    leader_state = state.leader_state
    if leader_state is None:
        raise ValueError("only a leader appends")
    entry = LogEntry(state.log.last_index + 1, state.term, kind, data)
    state.emit(state.log.append((entry,)))
    if kind is not EntryKind.COMMAND:
        leader_state.update_peers(state.log.members, state.me.id, entry.index)
    return entry


def check_quorum(state: State) -> None:
    """Step down if no quorum answered within the longest election timeout."""
    leader_state = state.leader_state
    if leader_state is None:
        return
    acks.confirm_round(state, leader_state)
    silence_ms = state.now_ms - leader_state.lease.confirmed_round_started_ms
    if silence_ms > state.settings.election_timeout_max_ms:
        state.become_follower(state.term)


def send_heartbeats_if_due(state: State) -> None:
    """Start a round of heartbeats if one is due or a read requested one.

    Also cancels a leadership transfer whose deadline has passed.
    """
    leader_state = state.leader_state
    if leader_state is None:
        return
    if (
        leader_state.transfer_target is not None
        and state.now_ms > leader_state.transfer_deadline_ms
    ):
        leader_state.transfer_target = None
    if state.now_ms >= leader_state.heartbeat_due_ms or leader_state.is_round_requested:
        leader_state.is_round_requested = False
        leader_state.heartbeat_due_ms = state.now_ms + state.settings.heartbeat_ms
        leader_state.lease.begin_round(state.now_ms)
        for peer, progress in leader_state.peers.items():
            _send_heartbeat(state, leader_state, peer, progress)
        acks.confirm_round(state, leader_state)


def send_pending(state: State) -> None:
    """Send unsent entries or chunks as far as the limits in flight allow, and finish a transfer."""
    leader_state = state.leader_state
    if leader_state is None:
        return
    for peer, progress in leader_state.peers.items():
        _send_pending_to(state, leader_state, peer, progress)
    advance_commit(state)
    _finish_transfer(state, leader_state)


def on_append_response(state: State, sender: MemberId, response: AppendResponse) -> None:
    """Record an acknowledgement, or go back to an index at which the logs may agree."""
    if response.term > state.term:
        state.become_follower(response.term)
        return
    progress = acks.record_response(state, sender, response.term, response.round)
    if progress is None:
        return
    if response.success:
        progress.is_stopping = response.is_stopping
        progress.acknowledge(response.match_index)
        if progress.snapshot and progress.match_index >= progress.snapshot.meta.index:
            progress.snapshot = None
        return
    agreed = state.log.last_index_with_term_up_to(response.hint_index, response.hint_term)
    if agreed + 1 < progress.next_index:
        progress.retry_from(agreed + 1)
        progress.is_probing = True


def advance_commit(state: State) -> None:
    """Advance the commit index to what a quorum holds durably.

    Entries of older terms are committed only along with one of the current term.
    """
    leader_state = state.leader_state
    if leader_state is None:
        return
    match_indexes = {peer: progress.match_index for peer, progress in leader_state.peers.items()}
    match_indexes[state.me.id] = state.log.synced_index
    members = state.log.members
    superseded = state.superseded
    index = highest_value_reached(match_indexes, lambda ids: can_commit(members, ids, superseded))
    index = min(index, _last_committable_index(state, match_indexes))
    if index > state.commit_index and state.log.term_at(index) == state.term:
        state.commit_index = index


def _last_committable_index(state: State, match_indexes: dict[MemberId, int]) -> int:
    """Return the last index that uncommitted membership changes allow to commit.

    A change may need further holders besides a quorum of the new members; until they hold it, only
    the entries before it can be committed.
    """
    if state.log.members_index > state.commit_index:
        for at, old, new in state.log.member_changes_after(state.commit_index):
            needed = extra_holders_required(old, new, state.superseded)
            if any(match_indexes.get(m, 0) < at for m in needed):
                return at - 1
    return state.log.last_index


def _send_heartbeat(
    state: State, leader_state: LeaderState, peer: MemberId, progress: Progress
) -> None:
    silent_ms = state.now_ms - (progress.acked_ms or 0)
    if progress.in_flight and silent_ms > state.settings.heartbeat_ms:
        progress.retry_from(progress.in_flight[0][0])
        progress.is_probing = True
    progress.is_chunk_in_flight = False
    if snapshots.is_needed(state, progress):
        snapshots.send_chunk(state, peer, progress, leader_state.lease.round)
    else:
        _send_entries(state, leader_state, peer, progress)


def _send_pending_to(
    state: State, leader_state: LeaderState, peer: MemberId, progress: Progress
) -> None:
    if snapshots.is_needed(state, progress):
        if not progress.is_chunk_in_flight:
            snapshots.send_chunk(state, peer, progress, leader_state.lease.round)
        return
    limit = 1 if progress.is_probing else state.settings.max_batches_in_flight
    while progress.next_index <= state.log.last_index and len(progress.in_flight) < limit:
        _send_entries(state, leader_state, peer, progress)


def _send_entries(
    state: State, leader_state: LeaderState, peer: MemberId, progress: Progress
) -> None:
    cfg = state.settings
    prev_index = progress.next_index - 1
    entries = state.log.batch(progress.next_index, cfg.max_batch_entries, cfg.max_batch_bytes)
    request = AppendRequest(
        term=state.term,
        prev_index=prev_index,
        prev_term=state.log.term_at(prev_index) or 0,
        commit_index=state.commit_index,
        round=leader_state.lease.round,
        entries=entries,
    )
    state.send(peer, request)
    if entries:
        progress.in_flight.append((progress.next_index, entries[-1].index))
        progress.next_index = entries[-1].index + 1


def _finish_transfer(state: State, leader_state: LeaderState) -> None:
    if leader_state.transfer_target is None:
        return
    progress = leader_state.peers.get(leader_state.transfer_target)
    if progress is not None and progress.match_index == state.log.last_index:
        state.send(leader_state.transfer_target, TimeoutNow(state.term))
        state.become_follower(state.term)
