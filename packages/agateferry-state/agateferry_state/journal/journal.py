"""The journal of one replica in one data folder: a write-ahead log, a vote and a snapshot.

Records are appended in memory and become durable together at the next `sync`: one frame, one write
and one fdatasync for all of them, however many. After any failure the journal refuses further use
until it is opened again: the system may have dropped pages that it could not write, and may read
back data that is not on the disk ("Can Applications Recover from fsync Failures?", ATC 2020). For
the same reason, opening a journal copies the newest segment to a new file and syncs that, instead
of assuming that what it read is on the disk.

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

from agateferry_state.journal.atomic_files import (
    create_synced,
    encode_snapshot,
    encode_vote,
    write_atomically,
)
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
from agateferry_state.journal.records import CorruptionError, LogPosition, encode_base, encode_batch
from agateferry_state.journal.recovery import (
    INCARNATION_NAME,
    LOCK_NAME,
    SNAPSHOT_PREFIX,
    VOTE_NAME,
    FolderContent,
    Segment,
    file_numbers,
    is_uninitialized,
    new_incarnation,
    read_folder,
    remove_temporary_files,
    segment_path,
    snapshot_path,
)
from agateferry_state.journal.terms import TermIndex

FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT})
EMPTY_LOG_BASE = LogPosition(0, 0)


@dataclass(frozen=True, slots=True)
class JournalSettings:
    """A batch goes to a new segment file once the newest one has at least `segment_bytes`."""

    segment_bytes: int = 4 * 1024 * 1024


class Journal:
    """Store the log, the vote and the newest snapshot of one replica on disk."""

    def __init__(self, folder: Path, files: Files, settings: JournalSettings, lock_fd: int) -> None:
        self._folder = folder
        self._files = files
        self._settings = settings
        self._lock_fd = lock_fd
        self._segments: list[Segment] = []
        self._term_index = TermIndex(EMPTY_LOG_BASE)
        self._batch: list[Record] = []
        self._segment_fd = -1
        self._segment_size_bytes = 0
        self._last_written_index = 0
        self._failure: JournalError | None = None

    @classmethod
    def open(
        cls,
        folder: Path,
        files: Files | None = None,
        settings: JournalSettings | None = None,
        incarnation: Callable[[], str] = new_incarnation,
    ) -> "Result[tuple[Journal, Recovered], JournalError]":
        """Lock a folder, recover its content and prepare it for appending.

        The folder is created if needed, and gets an incarnation from `incarnation` if it is new.
        The error is LOCKED if another process has the folder open, LOST_DISK if its content is
        corrupt or inconsistent, and otherwise describes the call that failed.
        """
        files = files or OsFiles()
        try:
            files.make_folder(folder)
            lock_fd = files.lock(folder / LOCK_NAME)
        except BlockingIOError:
            return Error(JournalError(JournalErrorKind.LOCKED, str(folder)))
        except OSError as exc:
            return Error(_to_journal_error(exc))
        journal = cls(folder, files, settings or JournalSettings(), lock_fd)
        try:
            return Ok((journal, journal._recover(incarnation)))
        except CorruptionError as exc:
            journal.close()
            return Error(JournalError(JournalErrorKind.LOST_DISK, f"{folder}: {exc}"))
        except OSError as exc:
            journal.close()
            return Error(_to_journal_error(exc))

    @property
    def last_index(self) -> int:
        """Return the index of the last appended record, synced or not."""
        return self._term_index.last.index

    @property
    def failure(self) -> JournalError | None:
        """Return the error after which the journal refuses further use, or None while it works."""
        return self._failure

    def append(self, records: Sequence[Record]) -> None:
        """Queue records for the next sync; raise ValueError unless indexes are consecutive."""
        for record in records:
            self._term_index.add(record.index, record.term)
            self._batch.append(record)

    def truncate(self, from_index: int) -> None:
        """Drop the record at `from_index` and all after it; the next sync makes this durable."""
        self._batch = [record for record in self._batch if record.index < from_index]
        self._term_index.drop_from(from_index)

    def sync(self) -> Result[int, JournalError]:
        """Make all appends and truncations durable; the value is the index of the last record."""
        return self._run_unless_failed(self._write_batch, "sync")

    def save_vote(self, vote: Vote) -> Result[int, JournalError]:
        """Replace the vote durably; the value is its term."""
        return self._run_unless_failed(lambda: self._write_vote(vote), "vote")

    def save_snapshot(self, snapshot: Snapshot) -> Result[int, JournalError]:
        """Store a snapshot and remove the segments that it covers; the value is its index.

        ValueError is raised if the log does not contain the snapshot's index and term.
        """
        return self._run_unless_failed(lambda: self._write_snapshot(snapshot), "snapshot")

    def install_snapshot(self, snapshot: Snapshot) -> Result[int, JournalError]:
        """Replace the whole log by a snapshot from the leader; the value is its index."""
        return self._run_unless_failed(lambda: self._replace_log(snapshot), "snapshot")

    def close(self) -> None:
        """Close the files and release the lock; appended records that were not synced are lost."""
        for fd in (self._segment_fd, self._lock_fd):
            if fd >= 0:
                self._files.close(fd)
        self._segment_fd = self._lock_fd = -1
        self._failure = self._failure or JournalError(JournalErrorKind.CLOSED, str(self._folder))

    def _run_unless_failed(
        self, action: Callable[[], int], operation: str
    ) -> Result[int, JournalError]:
        if self._failure is not None:
            return Error(JournalError(JournalErrorKind.CLOSED, self._failure.detail))
        try:
            return Ok(action())
        except OSError as exc:
            self._failure = _to_journal_error(exc, operation)
            return Error(self._failure)

    def _recover(self, incarnation: Callable[[], str]) -> Recovered:
        remove_temporary_files(self._files, self._folder)
        if is_uninitialized(self._files, self._folder):
            return self._initialize(incarnation())
        content = read_folder(self._files, self._folder)
        write_atomically(self._files, self._folder / VOTE_NAME, encode_vote(content.vote))
        self._remove(content.leftover_segments)
        self._resume(content)
        return Recovered(
            incarnation=content.incarnation,
            is_new=False,
            vote=content.vote,
            snapshot=content.snapshot,
            records=tuple(content.records),
            cut_bytes=content.cut_bytes,
        )

    def _initialize(self, incarnation: str) -> Recovered:
        self._begin_segment(1, EMPTY_LOG_BASE)
        path = self._folder / INCARNATION_NAME
        write_atomically(self._files, path, incarnation.encode())
        return Recovered(incarnation, True, Vote(), None, ())

    def _resume(self, content: FolderContent) -> None:
        """Continue in a synced copy of the newest segment, or in a new one if the log is stale."""
        base = EMPTY_LOG_BASE
        if content.snapshot is not None:
            base = LogPosition(content.snapshot.index, content.snapshot.term)
        self._term_index = TermIndex(base)
        for record in content.records:
            self._term_index.add(record.index, record.term)
        self._segments = content.segments
        self._last_written_index = self.last_index
        number = content.segments[-1].number
        if content.is_log_stale:
            self._begin_segment(number + 1, base)
            return
        path = segment_path(self._folder, number)
        self._segment_fd = create_synced(self._files, path, content.tail)
        self._segment_size_bytes = len(content.tail)

    def _begin_segment(self, number: int, base: LogPosition) -> None:
        content = encode_frame(encode_base(base))
        segment_fd = create_synced(self._files, segment_path(self._folder, number), content)
        if self._segment_fd >= 0:
            self._files.close(self._segment_fd)
        self._segment_fd = segment_fd
        self._segment_size_bytes = len(content)
        self._segments.append(Segment(number, base))

    def _write_batch(self) -> int:
        kept_index = self.last_index - len(self._batch)
        is_segment_full = (
            bool(self._batch) and self._segment_size_bytes >= self._settings.segment_bytes
        )
        if is_segment_full or kept_index < self._last_written_index:
            self._begin_segment(
                self._segments[-1].number + 1, self._term_index.position_at(kept_index)
            )
            self._last_written_index = kept_index
        if self._batch:
            frame = encode_frame(encode_batch(self._batch))
            self._files.write(self._segment_fd, frame)
            self._files.sync(self._segment_fd)
            self._segment_size_bytes += len(frame)
            self._last_written_index = self.last_index
            self._batch = []
        return self.last_index

    def _write_vote(self, vote: Vote) -> int:
        write_atomically(self._files, self._folder / VOTE_NAME, encode_vote(vote))
        return vote.term

    def _write_snapshot(self, snapshot: Snapshot) -> int:
        base = LogPosition(snapshot.index, snapshot.term)
        if not self._term_index.contains(base):
            raise ValueError(f"the log does not contain {base}")
        self._write_batch()
        self._write_snapshot_file(snapshot)
        self._term_index.drop_through(base)
        self._compact(snapshot.index)
        return snapshot.index

    def _replace_log(self, snapshot: Snapshot) -> int:
        base = LogPosition(snapshot.index, snapshot.term)
        self._write_snapshot_file(snapshot)
        self._batch = []
        self._term_index = TermIndex(base)
        self._begin_segment(self._segments[-1].number + 1, base)
        self._last_written_index = base.index
        self._compact(snapshot.index)
        return snapshot.index

    def _write_snapshot_file(self, snapshot: Snapshot) -> None:
        path = snapshot_path(self._folder, snapshot.index)
        write_atomically(self._files, path, encode_snapshot(snapshot))

    def _compact(self, index: int) -> None:
        """Remove the files that the snapshot at `index` covers.

        Until the folder is synced, a loss of power may undo each removal or not, by itself.
        """
        removed: list[Path] = []
        while len(self._segments) > 1 and self._segments[1].base.index <= index:
            removed.append(segment_path(self._folder, self._segments.pop(0).number))
        for snapshot_index in file_numbers(self._files, self._folder, SNAPSHOT_PREFIX):
            if snapshot_index < index:
                removed.append(snapshot_path(self._folder, snapshot_index))
        self._remove(removed)

    def _remove(self, paths: Sequence[Path]) -> None:
        for path in paths:
            self._files.remove(path)
        if paths:
            self._files.sync_folder(self._folder)


def _to_journal_error(exc: OSError, operation: str = "") -> JournalError:
    detail = f"{operation}: {exc}" if operation else str(exc)
    if exc.errno in FULL_ERRNOS:
        return JournalError(JournalErrorKind.DISK_FULL, detail)
    if exc.errno == errno.EIO:
        return JournalError(JournalErrorKind.SYNC_FAILED, detail)
    return JournalError(JournalErrorKind.IO_FAILED, detail)
