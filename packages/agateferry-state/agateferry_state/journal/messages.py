"""The values that a journal stores and recovers, and its errors."""

from dataclasses import dataclass
from enum import StrEnum


class JournalErrorKind(StrEnum):
    """The reason why a journal failed or refused a call."""

    DISK_FULL = "disk-full"
    """The disk or quota is full; treat no part of the last batch as written."""

    SYNC_FAILED = "sync-failed"
    """The device failed to write or sync (EIO); treat no part of the last batch as written."""

    IO_FAILED = "io-failed"
    """A file system call failed for another reason."""

    LOST_DISK = "lost-disk"
    """The content of the folder is corrupt or inconsistent, so the whole folder is unusable."""

    LOCKED = "locked"
    """Another process has the folder open."""

    CLOSED = "closed"
    """The journal was closed or failed before; it must be opened again."""


@dataclass(frozen=True, slots=True)
class JournalError:
    """An error of a journal; `detail` names the folder, file or operation and the cause."""

    kind: JournalErrorKind
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Record:
    """One entry of the log; the journal stores `kind` (0 to 255) but does not interpret it."""

    index: int
    term: int
    data: bytes
    kind: int = 0


@dataclass(frozen=True, slots=True)
class Vote:
    """The newest term that a member has seen, and the member that it voted for in this term.

    `voted_for` is empty if it has not voted in this term.
    """

    term: int = 0
    voted_for: str = ""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after all records up to and including `index`, whose record has term `term`."""

    index: int
    term: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Recovered:
    """The content of a folder when it was opened.

    `records` are in order of index, start right after `snapshot` and have no gaps. `is_new` is true
    if the folder held no journal and got a new incarnation. `cut_bytes` is the number of bytes of a
    torn last batch that were dropped; no caller was told that this batch was written.
    """

    incarnation: str
    is_new: bool
    vote: Vote
    snapshot: Snapshot | None
    records: tuple[Record, ...]
    cut_bytes: int = 0
