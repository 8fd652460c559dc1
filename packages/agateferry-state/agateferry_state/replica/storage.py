"""Where a replica keeps its term, vote, log and snapshot: on a disk, or on a host without one.

A host with no disk keeps nothing, so it is a new member at each start; the core counts what it
holds in memory as it does for any member, and asks for one synced copy elsewhere.
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
    Record,
    Recovered,
    Vote,
)
from agateferry_state.journal import Snapshot as StoredSnapshot
from agateferry_state.journal.recovery import new_incarnation
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
META = struct.Struct("<II")
SEPARATOR = "/"
Written = Result[int, JournalError]


class Storage(Protocol):
    """Take what a core wants stored; a call that fails makes all later ones fail too."""

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Take entries for the next sync."""

    def truncate(self, from_index: int) -> None:
        """Drop the entry at `from_index` and all after it with the next sync."""

    def sync(self) -> Written:
        """Make durable what was appended and truncated."""

    def save_vote(self, term: int, voted_for: MemberId | None) -> Written:
        """Store term and vote durably."""

    def save_snapshot(self, snapshot: Snapshot) -> Written:
        """Store a snapshot of the own state durably and drop what it covers."""

    def install_snapshot(self, snapshot: Snapshot) -> Written:
        """Store a leader's snapshot durably in place of the whole log."""

    def close(self) -> None:
        """Give the folder up."""


@dataclass(frozen=True, slots=True)
class Opened:
    """Storage that is ready, and what it held."""

    storage: Storage
    incarnation: str
    stored: StoredState
    cut_bytes: int = 0


def open_storage(folder: Path | None, files: Files | None = None) -> Result[Opened, JournalError]:
    """Open the data folder of one group, or memory where there is none."""
    if folder is None:
        return Ok(Opened(MemoryStorage(), new_incarnation(), StoredState()))
    match Journal.open(folder, files):
        case Result(tag="ok", ok=(journal, recovered)):
            stored = _stored_state(recovered)
            incarnation = recovered.incarnation
            return Ok(Opened(DiskStorage(journal), incarnation, stored, recovered.cut_bytes))
        case Result(error=error):
            return Error(error)


class DiskStorage:
    """Keep everything in a journal."""

    def __init__(self, journal: Journal) -> None:
        self._journal = journal

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Take entries for the next sync."""
        self._journal.append(
            [Record(each.index, each.term, each.data, ENTRY_NUMBERS[each.kind]) for each in entries]
        )

    def truncate(self, from_index: int) -> None:
        """Drop the entry at `from_index` and all after it with the next sync."""
        self._journal.truncate(from_index)

    def sync(self) -> Written:
        """Make durable what was appended and truncated."""
        return self._journal.sync()

    def save_vote(self, term: int, voted_for: MemberId | None) -> Written:
        """Store term and vote durably."""
        return self._journal.save_vote(Vote(term, _encode_id(voted_for)))

    def save_snapshot(self, snapshot: Snapshot) -> Written:
        """Store a snapshot of the own state durably and drop what it covers."""
        return self._journal.save_snapshot(_encode_snapshot(snapshot))

    def install_snapshot(self, snapshot: Snapshot) -> Written:
        """Store a leader's snapshot durably in place of the whole log."""
        return self._journal.install_snapshot(_encode_snapshot(snapshot))

    def close(self) -> None:
        """Close the files and give up the lock."""
        self._journal.close()


class MemoryStorage:
    """Keep nothing: the core's own memory is all that a host with no disk has."""

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Do nothing."""

    def truncate(self, from_index: int) -> None:
        """Do nothing."""

    def sync(self) -> Written:
        """Succeed."""
        return Ok(0)

    def save_vote(self, term: int, voted_for: MemberId | None) -> Written:
        """Succeed."""
        return Ok(term)

    def save_snapshot(self, snapshot: Snapshot) -> Written:
        """Succeed."""
        return Ok(snapshot.meta.index)

    def install_snapshot(self, snapshot: Snapshot) -> Written:
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
    header = META.pack(len(members), meta.checksum)
    return StoredSnapshot(meta.index, meta.term, header + members + snapshot.data)


def _decode_snapshot(stored: StoredSnapshot) -> Snapshot:
    length, checksum = META.unpack_from(stored.data)
    end = META.size + length
    members = Members.decode(stored.data[META.size : end])
    data = stored.data[end:]
    return Snapshot(SnapshotMeta(stored.index, stored.term, members, len(data), checksum), data)
