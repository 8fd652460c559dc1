"""What a replicated log holds, and what of it the disk gives back at start."""

from dataclasses import dataclass
from enum import StrEnum

from agateferry_state.members.members import MemberId, Members


class EntryKind(StrEnum):
    """Say what an entry of the log holds."""

    COMMAND = "command"
    NOOP = "noop"
    MEMBERS = "members"


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One place in the log; `data` is a command, or encoded `Members`, or empty."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class SnapshotMeta:
    """What a snapshot covers: the last entry in it, the members then, its size and CRC-32."""

    index: int
    term: int
    members: Members
    size: int
    checksum: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A snapshot of the state machine with its bytes."""

    meta: SnapshotMeta
    data: bytes


@dataclass(frozen=True, slots=True)
class StoredState:
    """What the disk held at start; the defaults describe an empty folder."""

    term: int = 0
    voted_for: MemberId | None = None
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()
