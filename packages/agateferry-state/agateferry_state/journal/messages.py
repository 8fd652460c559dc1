"""What goes into a journal and what comes out of it."""

from dataclasses import dataclass
from enum import StrEnum


class JournalErrorKind(StrEnum):
    """Say why the disk did not do what was asked."""

    DISK_FULL = "disk-full"
    """There was no room; nothing of the last batch counts as written."""

    SYNC_FAILED = "sync-failed"
    """The device failed to write or sync; nothing of the last batch counts as written."""

    IO_FAILED = "io-failed"
    """Another call to the file system failed."""

    LOST_DISK = "lost-disk"
    """What is on the disk contradicts itself, so the whole folder must be given up."""

    LOCKED = "locked"
    """Another process has the folder open."""

    CLOSED = "closed"
    """The journal was closed or failed earlier; it must be opened again."""


@dataclass(frozen=True, slots=True)
class JournalError:
    """Why a journal refused, with the file or call concerned in `detail`."""

    kind: JournalErrorKind
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Record:
    """One entry of the log; `kind` belongs to the caller and the journal only keeps it."""

    index: int
    term: int
    data: bytes
    kind: int = 0


@dataclass(frozen=True, slots=True)
class Vote:
    """The newest term that a member has seen and the member it voted for in that term."""

    term: int = 0
    voted_for: str = ""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A state that stands for all records up to and with `index`."""

    index: int
    term: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Recovered:
    """All that a folder held when it was opened.

    `records` are in order of index, begin just above `snapshot` and have no gaps. `fresh` tells
    that the folder was empty and has got a new incarnation. `cut_bytes` counts the bytes of a
    torn last batch that were dropped; no caller was ever told that they were written.
    """

    incarnation: str
    fresh: bool
    vote: Vote
    snapshot: Snapshot | None
    records: tuple[Record, ...]
    cut_bytes: int = 0
