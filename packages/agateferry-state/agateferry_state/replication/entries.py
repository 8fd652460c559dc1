"""Entries and snapshots of the replicated log, and the durable state read at start."""

from dataclasses import dataclass
from enum import StrEnum

from agateferry_state.members.members import MemberId, Members


class EntryKind(StrEnum):
    """The kinds of log entries."""

    COMMAND = "command"
    """A command for the state machine."""

    NOOP = "noop"
    """No data: the first entry of a new leader's term."""

    MEMBERS = "members"
    """A membership change: the complete new `Members`."""


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of the log; `data` is a command, encoded `Members`, or empty for a no-op."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class SnapshotMeta:
    """What a snapshot covers.

    `index` and `term` are those of the last entry that it includes, and `members` those in force
    at that entry. `size` is in bytes; `checksum` is the CRC-32 of the data.
    """

    index: int
    term: int
    members: Members
    size: int
    checksum: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A snapshot of the state machine: its metadata and the serialized bytes."""

    meta: SnapshotMeta
    data: bytes


@dataclass(frozen=True, slots=True)
class StoredState:
    """The durable state read from the disk at start; the defaults describe an empty data folder."""

    term: int = 0
    voted_for: MemberId | None = None
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()
