"""Storage for a replica's term, vote, log and snapshot: on disk, or none on a diskless host.

A host without a disk stores nothing, so it is a new member at each start. The core counts its
copy in memory towards a quorum like any other, and requires a synced copy on another member.
"""

import struct
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from expression import Error, Ok, Result

from agateferry_state.journal import (
    Files,
    Journal,
    JournalError,
    OsFiles,
    Record,
    Recovered,
    Vote,
)
from agateferry_state.journal import Snapshot as StoredSnapshot
from agateferry_state.journal.recovery import is_uninitialized, new_incarnation
from agateferry_state.members import MemberId, Members
from agateferry_state.replication.messages import (
    EntryKind,
    LogEntry,
    Snapshot,
    SnapshotMeta,
    StoredState,
)

ENTRY_KINDS = (EntryKind.COMMAND, EntryKind.NOOP, EntryKind.MEMBERS)
ENTRY_NUMBERS = {kind: number for number, kind in enumerate(ENTRY_KINDS)}
SNAPSHOT_HEADER = struct.Struct("<II")
SEPARATOR = "/"
WriteResult = Result[int, JournalError]


class Storage(Protocol):
    """Store the state of a replication core; after one failed call, all later ones fail too."""

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries in memory; the next sync writes them."""

    def truncate(self, from_index: int) -> None:
        """Remove the entry at `from_index` and all after it with the next sync."""

    def sync(self) -> WriteResult:
        """Make all appends and truncations so far durable."""

    def save_vote(self, term: int, voted_for: MemberId | None) -> WriteResult:
        """Store term and vote durably."""

    def save_snapshot(self, snapshot: Snapshot) -> WriteResult:
        """Store a snapshot of the own state durably and remove the entries that it covers."""

    def install_snapshot(self, snapshot: Snapshot) -> WriteResult:
        """Store a leader's snapshot durably in place of the whole log."""

    def close(self) -> None:
        """Close the files and release the lock of the data folder."""


@dataclass(frozen=True, slots=True)
class OpenedStorage:
    """Storage that is ready for use, with the state recovered from it.

    `cut_bytes` is the size of an incomplete batch that was cut off the end of the log.
    """

    storage: Storage
    incarnation: str
    stored: StoredState
    cut_bytes: int = 0


def open_storage(
    folder: Path | None, files: Files | None = None
) -> Result[OpenedStorage, JournalError]:
    """Open the data folder of one group, or storage that keeps nothing if `folder` is None."""
    if folder is None:
        return Ok(OpenedStorage(MemoryStorage(), new_incarnation(), StoredState()))
    match Journal.open(folder, files):
        case Result(tag="ok", ok=(journal, recovered)):
            stored = _stored_state(recovered)
            incarnation = recovered.incarnation
            return Ok(OpenedStorage(DiskStorage(journal), incarnation, stored, recovered.cut_bytes))
        case Result(error=error):
            return Error(error)


def has_stored_state(folder: Path | None) -> bool:
    """Return whether a data folder holds the state of a replica, without opening it."""
    return folder is not None and folder.is_dir() and not is_uninitialized(OsFiles(), folder)


class DiskStorage:
    """Store everything in a journal."""

    def __init__(self, journal: Journal) -> None:
        self._journal = journal

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries in memory; the next sync writes them."""
        self._journal.append(
            [Record(each.index, each.term, each.data, ENTRY_NUMBERS[each.kind]) for each in entries]
        )

    def truncate(self, from_index: int) -> None:
        """Remove the entry at `from_index` and all after it with the next sync."""
        self._journal.truncate(from_index)

    def sync(self) -> WriteResult:
        """Make all appends and truncations so far durable."""
        return self._journal.sync()

    def save_vote(self, term: int, voted_for: MemberId | None) -> WriteResult:
        """Store term and vote durably."""
        return self._journal.save_vote(Vote(term, _encode_id(voted_for)))

    def save_snapshot(self, snapshot: Snapshot) -> WriteResult:
        """Store a snapshot of the own state durably and remove the entries that it covers."""
        return self._journal.save_snapshot(_encode_snapshot(snapshot))

    def install_snapshot(self, snapshot: Snapshot) -> WriteResult:
        """Store a leader's snapshot durably in place of the whole log."""
        return self._journal.install_snapshot(_encode_snapshot(snapshot))

    def close(self) -> None:
        """Close the files and release the lock of the data folder."""
        self._journal.close()


class MemoryStorage:
    """Store nothing; on a host without a disk, the state exists only in the core's memory."""

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Do nothing."""

    def truncate(self, from_index: int) -> None:
        """Do nothing."""

    def sync(self) -> WriteResult:
        """Succeed."""
        return Ok(0)

    def save_vote(self, term: int, voted_for: MemberId | None) -> WriteResult:
        """Succeed."""
        return Ok(term)

    def save_snapshot(self, snapshot: Snapshot) -> WriteResult:
        """Succeed."""
        return Ok(snapshot.meta.index)

    def install_snapshot(self, snapshot: Snapshot) -> WriteResult:
        """Succeed."""
        return Ok(snapshot.meta.index)

    def close(self) -> None:
        """Do nothing."""


def _stored_state(recovered: Recovered) -> StoredState:
    snapshot = None
    if recovered.snapshot is not None:
        snapshot = _decode_snapshot(recovered.snapshot)
    return StoredState(
        term=recovered.vote.term,
        voted_for=_decode_id(recovered.vote.voted_for),
        snapshot=snapshot,
        entries=tuple(
            LogEntry(each.index, each.term, ENTRY_KINDS[each.kind], each.data)
            for each in recovered.records
        ),
    )


def _encode_id(member: MemberId | None) -> str:
    return "" if member is None else f"{member.host}{SEPARATOR}{member.incarnation}"


def _decode_id(text: str) -> MemberId | None:
    if not text:
        return None
    host, _, incarnation = text.rpartition(SEPARATOR)
    return MemberId(host, incarnation)


def _encode_snapshot(snapshot: Snapshot) -> StoredSnapshot:
    meta = snapshot.meta
    members = meta.members.encode()
    header = SNAPSHOT_HEADER.pack(len(members), meta.checksum)
    return StoredSnapshot(meta.index, meta.term, header + members + snapshot.data)


def _decode_snapshot(stored: StoredSnapshot) -> Snapshot:
    length, checksum = SNAPSHOT_HEADER.unpack_from(stored.data)
    end = SNAPSHOT_HEADER.size + length
    members = Members.decode(stored.data[SNAPSHOT_HEADER.size : end])
    data = stored.data[end:]
    return Snapshot(SnapshotMeta(stored.index, stored.term, members, len(data), checksum), data)
