"""A follower's handling of append requests and snapshot chunks.

Entries are acknowledged once they are durable. The first message of each of the leader's rounds is
answered at once with the index that is durable by then, so that a slow disk does not end the lease.
Where the logs differ, the answer names an index from which the leader can try again; it skips whole
terms.
"""

from agateferry_state.members import MemberId
from agateferry_state.replication import snapshots
from agateferry_state.replication.leader_contact import LeaderContact
from agateferry_state.replication.messages import (
    AppendRequest,
    AppendResponse,
    LogEntry,
    SnapshotChunk,
    SnapshotResponse,
)
from agateferry_state.replication.state import State

NO_ROUND = 0
"""The round in an answer to a leader of an earlier term; rounds begin at 1.

If that leader leads again in the current term, its round of before must not count as one of now.
"""


def on_append(state: State, sender: MemberId, request: AppendRequest) -> None:
    """Append entries from the leader, or answer its heartbeat."""
    if request.term < state.term:
        state.send(sender, AppendResponse(state.term, NO_ROUND, success=False))
        return
    _accept_leader(state, request.term, sender)
    if request.prev_index < state.log.base_index:
        _acknowledge_committed(state, sender, request)
        return
    if state.log.term_at(request.prev_index) != request.prev_term:
        _reject(state, sender, request)
        return
    is_new = _append_missing(state, request.entries)
    follower_state = state.follower_state
    last = request.prev_index + len(request.entries)
    follower_state.verified_index = max(follower_state.verified_index, last)
    state.commit_index = max(state.commit_index, min(request.commit_index, last))
    if is_new:
        follower_state.pending_ack_round = request.round
    if not is_new or request.round > follower_state.acked_round:
        _acknowledge(state, sender, request.round)


def on_snapshot_chunk(state: State, sender: MemberId, chunk: SnapshotChunk) -> None:
    """Collect a chunk of a snapshot, or acknowledge it where the log covers the snapshot."""
    if chunk.term < state.term:
        response = SnapshotResponse(state.term, NO_ROUND, chunk.meta.index, 0)
        state.send(sender, response)
        return
    _accept_leader(state, chunk.term, sender)
    index = chunk.meta.index
    if index <= state.commit_index or state.log.term_at(index) == chunk.meta.term:
        state.commit_index = max(state.commit_index, index)
        state.follower_state.verified_index = max(state.follower_state.verified_index, index)
        _acknowledge(state, sender, chunk.round)
        return
    snapshots.receive_chunk(state, sender, chunk)


def on_synced(state: State) -> None:
    """Acknowledge to the leader the entries that became durable."""
    follower_state = state.follower_state
    if (
        state.leader_state is not None
        or state.leader is None
        or not follower_state.pending_ack_round
    ):
        return
    _acknowledge(state, state.leader, follower_state.pending_ack_round)
    if state.log.synced_index >= follower_state.verified_index:
        follower_state.pending_ack_round = 0


def _accept_leader(state: State, term: int, leader: MemberId) -> None:
    if state.leader_state is not None and term == state.term:
        raise ValueError(f"{leader} leads in term {term} besides {state.me.id}")
    state.become_follower(term, leader)
    state.last_leader_contact_ms = state.now_ms
    contact = state.leader_contact
    is_same = contact is not None and contact.term == term
    since_ms = contact.since_ms if contact is not None and is_same else state.now_ms
    state.leader_contact = LeaderContact(term, since_ms, state.now_ms)
    state.reset_election_deadline()


def _append_missing(state: State, entries: tuple[LogEntry, ...]) -> bool:
    """Append the entries that the log lacks, and truncate it first where it conflicts with them."""
    log = state.log
    missing = tuple(e for e in entries if log.term_at(e.index) != e.term)
    if not missing:
        return False
    first = missing[0].index
    if first <= state.commit_index:
        raise ValueError(f"committed entry {first} contradicts the leader of term {state.term}")
    if first <= log.last_index:
        state.emit(log.truncate(first))
    state.emit(log.append(tuple(e for e in entries if e.index >= first)))
    return True


def _acknowledge(state: State, leader: MemberId, round_number: int) -> None:
    match = min(state.log.synced_index, state.follower_state.verified_index)
    state.follower_state.acked_round = max(state.follower_state.acked_round, round_number)
    response = AppendResponse(
        state.term, round_number, success=True, match_index=match, is_stopping=state.is_stopping
    )
    state.send(leader, response)


def _acknowledge_committed(state: State, sender: MemberId, request: AppendRequest) -> None:
    """Acknowledge up to the commit index a request that starts before the compacted log.

    Committed entries agree with the log of every leader.
    """
    follower_state = state.follower_state
    follower_state.verified_index = max(follower_state.verified_index, state.commit_index)
    _acknowledge(state, sender, request.round)


def _reject(state: State, sender: MemberId, request: AppendRequest) -> None:
    hint_index = state.log.last_index_with_term_up_to(request.prev_index, request.prev_term)
    term = state.log.term_at(hint_index) or 0
    response = AppendResponse(
        state.term, request.round, success=False, hint_index=hint_index, hint_term=term
    )
    state.send(sender, response)
