"""The journal of one replica in one data folder.

Records are appended to memory and become durable together at the next `sync`: one frame, one
write and one fdatasync for all of them, whatever their number. After any failure the journal
refuses further use until it is opened again, because the system may have thrown away pages that
it could not write and would then read back what the disk does not hold ("Can Applications Recover
from fsync Failures?", ATC 2020). For the same reason opening copies the newest segment to a new
file and syncs that, in place of trusting what it has read to be on the disk.

For example:

    match Journal.open(Path("data/cell")):
        case Result(tag="ok", ok=(journal, recovered)):
            journal.append([Record(journal.last_index + 1, 1, b"x")])
            journal.sync()
"""

import errno
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from expression import Error, Ok, Result

from agateferry_state.journal.files import Files, OsFiles
from agateferry_state.journal.frames import encode_frame
from agateferry_state.journal.messages import (
    JournalError,
    JournalErrorKind,
    Record,
    Recovered,
    Snapshot,
    Vote,
)
from agateferry_state.journal.records import Base, ContradictionError, encode_base, encode_batch
from agateferry_state.journal.recovery import (
    INCARNATION_NAME,
    LOCK_NAME,
    SNAPSHOT_PREFIX,
    VOTE_NAME,
    Found,
    Segment,
    find,
    is_fresh,
    new_incarnation,
    numbers,
    remove_temporary,
    segment_path,
    snapshot_path,
)
from agateferry_state.journal.sealed import (
    create_synced,
    encode_snapshot,
    encode_vote,
    write_sealed,
)
from agateferry_state.journal.terms import TermIndex

FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT})
NO_BASE = Base(0, 0)


@dataclass(frozen=True, slots=True)
class JournalSettings:
    """`segment_bytes` is the size above which a new segment is begun."""

    segment_bytes: int = 4 * 1024 * 1024


class Journal:
    """Keep the log, the vote and the newest snapshot of one replica on disk."""

    def __init__(self, folder: Path, files: Files, settings: JournalSettings, lock: int) -> None:
        self._folder = folder
        self._files = files
        self._settings = settings
        self._lock = lock
        self._segments: list[Segment] = []
        self._terms = TermIndex(NO_BASE)
        self._batch: list[Record] = []
        self._fd = -1
        self._size = 0
        self._written_index = 0
        self._failure: JournalError | None = None

    @classmethod
    def open(
        cls,
        folder: Path,
        files: Files | None = None,
        settings: JournalSettings | None = None,
        incarnation: Callable[[], str] = new_incarnation,
    ) -> "Result[tuple[Journal, Recovered], JournalError]":
        """Lock a folder, recover what it holds and make it ready to append.

        The error is LOCKED where another process has the folder, LOST_DISK where its content
        contradicts itself, and otherwise tells which call failed.
        """
        files = files or OsFiles()
        try:
            files.make_folder(folder)
            lock = files.lock(folder / LOCK_NAME)
        except BlockingIOError:
            return Error(JournalError(JournalErrorKind.LOCKED, str(folder)))
        except OSError as exc:
            return Error(_error_of(exc))
        journal = cls(folder, files, settings or JournalSettings(), lock)
        try:
            return Ok((journal, journal._recover(incarnation)))
        except ContradictionError as exc:
            journal.close()
            return Error(JournalError(JournalErrorKind.LOST_DISK, f"{folder}: {exc}"))
        except OSError as exc:
            journal.close()
            return Error(_error_of(exc))

    @property
    def last_index(self) -> int:
        """Return the index of the last record that was appended, synced or not."""
        return self._terms.last.index

    @property
    def failure(self) -> JournalError | None:
        """Return why the journal refuses further use, or None while it works."""
        return self._failure

    def append(self, records: Sequence[Record]) -> None:
        """Take records for the next sync; each follows the last one, or ValueError is raised."""
        for record in records:
            self._terms.add(record.index, record.term)
            self._batch.append(record)

    def truncate(self, from_index: int) -> None:
        """Drop the record at `from_index` and all above it; the next sync makes that durable."""
        self._batch = [record for record in self._batch if record.index < from_index]
        self._terms.drop_from(from_index)

    def sync(self) -> Result[int, JournalError]:
        """Return the index up to which all records are now on the disk."""
        return self._guard(self._write_batch, "sync")

    def save_vote(self, vote: Vote) -> Result[int, JournalError]:
        """Replace the vote on the disk; the value is its term."""
        return self._guard(lambda: self._write_vote(vote), "vote")

    def save_snapshot(self, snapshot: Snapshot) -> Result[int, JournalError]:
        """Store a snapshot and drop the segments that it covers; the value is its index."""
        return self._guard(lambda: self._write_snapshot(snapshot), "snapshot")

    def install_snapshot(self, snapshot: Snapshot) -> Result[int, JournalError]:
        """Store a snapshot from elsewhere in place of the whole log; the value is its index."""
        return self._guard(lambda: self._replace_log(snapshot), "snapshot")

    def close(self) -> None:
        """Close the files and give up the lock; appended records that were not synced are lost."""
        for fd in (self._fd, self._lock):
            if fd >= 0:
                self._files.close(fd)
        self._fd = self._lock = -1
        self._failure = self._failure or JournalError(JournalErrorKind.CLOSED, str(self._folder))

    def _guard(self, action: Callable[[], int], what: str) -> Result[int, JournalError]:
        if self._failure is not None:
            return Error(JournalError(JournalErrorKind.CLOSED, self._failure.detail))
        try:
            return Ok(action())
        except OSError as exc:
            self._failure = _error_of(exc, what)
            return Error(self._failure)

    def _recover(self, incarnation: Callable[[], str]) -> Recovered:
        remove_temporary(self._files, self._folder)
        if is_fresh(self._files, self._folder):
            return self._set_up(incarnation())
        found = find(self._files, self._folder)
        write_sealed(self._files, self._folder / VOTE_NAME, encode_vote(found.vote))
        self._adopt(found)
        return Recovered(
            incarnation=found.incarnation,
            fresh=False,
            vote=found.vote,
            snapshot=found.snapshot,
            records=tuple(found.records),
            cut_bytes=found.cut_bytes,
        )

    def _set_up(self, incarnation: str) -> Recovered:
        self._begin_segment(1, NO_BASE)
        path = self._folder / INCARNATION_NAME
        write_sealed(self._files, path, incarnation.encode())
        return Recovered(incarnation, True, Vote(), None, ())

    def _adopt(self, found: Found) -> None:
        """Go on with the newest segment in a synced copy, or anew above a lone snapshot."""
        base = NO_BASE
        if found.snapshot is not None:
            base = Base(found.snapshot.index, found.snapshot.term)
        self._terms = TermIndex(base)
        for record in found.records:
            self._terms.add(record.index, record.term)
        self._segments = found.segments
        self._written_index = self.last_index
        number = found.segments[-1].number
        if found.is_log_stale:
            self._begin_segment(number + 1, base)
            return
        path = segment_path(self._folder, number)
        self._fd = create_synced(self._files, path, found.tail)
        self._size = len(found.tail)

    def _begin_segment(self, number: int, base: Base) -> None:
        content = encode_frame(encode_base(base))
        fd = create_synced(self._files, segment_path(self._folder, number), content)
        if self._fd >= 0:
            self._files.close(self._fd)
        self._fd = fd
        self._size = len(content)
        self._segments.append(Segment(number, base))

    def _write_batch(self) -> int:
        below = self.last_index - len(self._batch)
        is_full = bool(self._batch) and self._size >= self._settings.segment_bytes
        if is_full or below < self._written_index:
            self._begin_segment(self._segments[-1].number + 1, self._terms.at(below))
            self._written_index = below
        if self._batch:
            frame = encode_frame(encode_batch(self._batch))
            self._files.write(self._fd, frame)
            self._files.sync(self._fd)
            self._size += len(frame)
            self._written_index = self.last_index
            self._batch = []
        return self.last_index

    def _write_vote(self, vote: Vote) -> int:
        write_sealed(self._files, self._folder / VOTE_NAME, encode_vote(vote))
        return vote.term

    def _write_snapshot(self, snapshot: Snapshot) -> int:
        base = Base(snapshot.index, snapshot.term)
        if not self._terms.holds(base):
            raise ValueError(f"the log does not lead through {base}")
        self._write_batch()
        self._seal(snapshot)
        self._terms.drop_to(base)
        self._compact(snapshot.index)
        return snapshot.index

    def _replace_log(self, snapshot: Snapshot) -> int:
        base = Base(snapshot.index, snapshot.term)
        self._seal(snapshot)
        self._batch = []
        self._terms = TermIndex(base)
        self._begin_segment(self._segments[-1].number + 1, base)
        self._written_index = base.index
        self._compact(snapshot.index)
        return snapshot.index

    def _seal(self, snapshot: Snapshot) -> None:
        path = snapshot_path(self._folder, snapshot.index)
        write_sealed(self._files, path, encode_snapshot(snapshot))

    def _compact(self, index: int) -> None:
        while len(self._segments) > 1 and self._segments[1].base.index <= index:
            self._files.remove(segment_path(self._folder, self._segments[0].number))
            del self._segments[0]
        for old in numbers(self._files, self._folder, SNAPSHOT_PREFIX):
            if old < index:
                self._files.remove(snapshot_path(self._folder, old))


def _error_of(exc: OSError, what: str = "") -> JournalError:
    detail = f"{what}: {exc}" if what else str(exc)
    if exc.errno in FULL_ERRNOS:
        return JournalError(JournalErrorKind.DISK_FULL, detail)
    if exc.errno == errno.EIO:
        return JournalError(JournalErrorKind.SYNC_FAILED, detail)
    return JournalError(JournalErrorKind.IO_FAILED, detail)
