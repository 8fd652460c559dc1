"""Snapshots: taking them, compacting the log, and sending them to peers in chunks.

A chunk is sent once the one before it is acknowledged, and resent with each heartbeat until it is
acknowledged itself. The receiver names the byte at which to continue, so a lost message, a
restarted receiver or a new leader only delays the transfer. A transfer continues with the snapshot
that it started with, even if a newer one is taken.
"""

import zlib

from agateferry_state.members import MemberId
from agateferry_state.replication import acks
from agateferry_state.replication.leader_state import Progress
from agateferry_state.replication.messages import (
    CompactLog,
    InstallSnapshot,
    Snapshot,
    SnapshotChunk,
    SnapshotMeta,
    SnapshotResponse,
    SnapshotTaken,
    TakeSnapshot,
)
from agateferry_state.replication.state import State


def request_if_due(state: State) -> None:
    """Request a snapshot once enough entries, or entries of enough bytes, were applied since."""
    newest = state.log.snapshot.meta.index if state.log.snapshot else 0
    newest = max(newest, state.snapshot_requested_index)
    index = state.applied_index
    if index <= newest:
        return
    is_due = index - newest >= state.settings.snapshot_every_entries
    if not is_due and not _has_grown(state, newest, index):
        return
    state.snapshot_requested_index = index
    term = state.log.term_at(index) or 0
    state.emit(TakeSnapshot(index, term, state.log.members_at(index)))


def on_taken(state: State, event: SnapshotTaken) -> None:
    """Compact the log after a snapshot became durable."""
    term = state.log.term_at(event.index)
    newest = state.log.snapshot.meta.index if state.log.snapshot else 0
    if term is None or event.index <= newest:
        return
    meta = SnapshotMeta(
        index=event.index,
        term=term,
        members=state.log.members_at(event.index),
        size=len(event.data),
        checksum=zlib.crc32(event.data),
    )
    settings = state.settings
    state.log.compact(
        Snapshot(meta, event.data), settings.trailing_entries, settings.trailing_bytes
    )
    state.emit(CompactLog(event.index))


def _has_grown(state: State, newest: int, index: int) -> bool:
    """Return whether the entries applied since the newest snapshot are large.

    They have to be as large as that snapshot too: of a large state one is not taken all the time.
    """
    snapshot = state.log.snapshot
    limit_bytes = max(
        state.settings.snapshot_every_bytes, snapshot.meta.size if snapshot is not None else 0
    )
    return state.log.bytes_between(newest + 1, index) >= limit_bytes


def is_needed(state: State, progress: Progress) -> bool:
    """Return whether a peer needs a snapshot, because the log no longer holds its next entry.

    Starts the transfer with the newest snapshot where none is under way.
    """
    if progress.snapshot is None and progress.next_index <= state.log.base_index:
        progress.snapshot = state.log.snapshot
        progress.snapshot_offset = 0
        progress.is_chunk_in_flight = False
        progress.in_flight.clear()
    return progress.snapshot is not None


def send_chunk(state: State, peer: MemberId, progress: Progress, round_number: int) -> None:
    """Send the chunk of the snapshot that the peer needs next."""
    snapshot = progress.snapshot
    if snapshot is None:
        return
    begin = progress.snapshot_offset
    data = snapshot.data[begin : begin + state.settings.snapshot_chunk_bytes]
    state.send(peer, SnapshotChunk(state.term, snapshot.meta, begin, data, round_number))
    progress.is_chunk_in_flight = True


def on_response(state: State, sender: MemberId, response: SnapshotResponse) -> None:
    """Continue with the byte that the receiver asks for, or with the log after the snapshot."""
    if response.term > state.term:
        state.become_follower(response.term)
        return
    progress = acks.record_response(state, sender, response.term, response.round)
    if progress is None or progress.snapshot is None:
        return
    if progress.snapshot.meta.index != response.index:
        return
    progress.is_chunk_in_flight = False
    progress.snapshot_offset = response.next_offset
    if response.installed:
        progress.snapshot = None
        progress.acknowledge(response.index)


def receive_chunk(state: State, sender: MemberId, chunk: SnapshotChunk) -> None:
    """Collect a chunk from the leader, and install the snapshot once it is complete.

    Where the checksum is wrong, the collected bytes are dropped and requested again.
    """
    follower_state = state.follower_state
    if follower_state.snapshot_meta != chunk.meta:
        follower_state.snapshot_meta = chunk.meta
        follower_state.snapshot_data = bytearray()
    data = follower_state.snapshot_data
    if chunk.offset == len(data):
        data.extend(chunk.data)
    is_whole = len(data) >= chunk.meta.size
    if is_whole and zlib.crc32(data) != chunk.meta.checksum:
        data.clear()
        is_whole = False
    if is_whole:
        _install(state, Snapshot(chunk.meta, bytes(data)))
    response = SnapshotResponse(state.term, chunk.round, chunk.meta.index, len(data), is_whole)
    state.send(sender, response)
    if is_whole:
        follower_state.snapshot_data = bytearray()
        follower_state.snapshot_meta = None


def _install(state: State, snapshot: Snapshot) -> None:
    index = snapshot.meta.index
    state.emit(InstallSnapshot(snapshot))
    state.log.reset(snapshot)
    state.commit_index = index
    state.applied_index = index
    state.snapshot_requested_index = index
    state.follower_state.verified_index = index
    state.follower_state.pending_ack_round = 0
