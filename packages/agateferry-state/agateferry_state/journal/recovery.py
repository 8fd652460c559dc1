"""Read the content of a data folder and check that it forms one consistent journal."""

import os
from dataclasses import dataclass, field
from pathlib import Path

from agateferry_state.journal.atomic_files import (
    TEMPORARY_SUFFIX,
    decode_snapshot,
    decode_vote,
    read_single_frame,
)
from agateferry_state.journal.files import Files
from agateferry_state.journal.frames import Scan, scan_frames
from agateferry_state.journal.messages import Record, Snapshot, Vote
from agateferry_state.journal.records import (
    CorruptionError,
    LogPosition,
    Replay,
    decode_base,
    decode_batch,
)

LOCK_NAME = "lock"
INCARNATION_NAME = "incarnation"
VOTE_NAME = "vote"
SEGMENT_PREFIX = "segment-"
SNAPSHOT_PREFIX = "snapshot-"
NUMBER_DIGITS = 12
INCARNATION_BYTES = 8


@dataclass(frozen=True, slots=True)
class Segment:
    """A segment file: its number and its base, the position before its first record."""

    number: int
    base: LogPosition


@dataclass(slots=True)
class FolderContent:
    """The content of a folder without corruption.

    `tail` are the valid frames of the newest segment. `is_log_stale` is true if the log does not
    contain the position of the snapshot, as after a crash while a leader's snapshot was being
    installed; then the log is dropped and a new one starts right after the snapshot.
    `leftover_segments` are files that the snapshot covers, whose removal a loss of power undid.
    """

    incarnation: str
    vote: Vote
    snapshot: Snapshot | None
    segments: list[Segment] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)
    tail: bytes = b""
    cut_bytes: int = 0
    is_log_stale: bool = False
    leftover_segments: list[Path] = field(default_factory=list)


def segment_path(folder: Path, number: int) -> Path:
    """Return the path of the segment with a number."""
    return folder / f"{SEGMENT_PREFIX}{number:0{NUMBER_DIGITS}d}"


def snapshot_path(folder: Path, index: int) -> Path:
    """Return the path of the snapshot whose last record is `index`."""
    return folder / f"{SNAPSHOT_PREFIX}{index:0{NUMBER_DIGITS}d}"


def new_incarnation() -> str:
    """Return a random incarnation, unique among data folders and processes."""
    return os.urandom(INCARNATION_BYTES).hex()


def remove_temporary_files(files: Files, folder: Path) -> None:
    """Remove temporary files that a crash left behind."""
    for name in files.list_names(folder):
        if name.endswith(TEMPORARY_SUFFIX):
            files.remove(folder / name)


def file_numbers(files: Files, folder: Path, prefix: str) -> list[int]:
    """Return the sorted numbers of the files whose names start with `prefix`.

    A name that does not continue with a number raises CorruptionError.
    """
    names = [name for name in files.list_names(folder) if name.startswith(prefix)]
    for name in names:
        if not name.removeprefix(prefix).isdecimal():
            raise CorruptionError(f"{name}: not a file name of the journal")
    return sorted(int(name.removeprefix(prefix)) for name in names)


def is_uninitialized(files: Files, folder: Path) -> bool:
    """Return whether the folder does not hold an initialized journal yet.

    Initialization writes the incarnation last. A folder with a first segment and no incarnation,
    vote or snapshot was therefore left by a crash during initialization.
    """
    names = set(files.list_names(folder)) - {LOCK_NAME}
    return INCARNATION_NAME not in names and names <= {segment_path(folder, 1).name}


def read_folder(files: Files, folder: Path) -> FolderContent:
    """Read an initialized folder; raise CorruptionError if a file is damaged or missing."""
    try:
        incarnation = read_single_frame(files, folder / INCARNATION_NAME).decode()
        folder_content = FolderContent(
            incarnation, _vote(files, folder), _newest_snapshot(files, folder)
        )
    except FileNotFoundError as exc:
        raise CorruptionError(f"{Path(exc.filename).name}: missing") from exc
    _read_log(files, folder, folder_content)
    return folder_content


def _vote(files: Files, folder: Path) -> Vote:
    if VOTE_NAME not in files.list_names(folder):
        return Vote()
    return decode_vote(read_single_frame(files, folder / VOTE_NAME))


def _newest_snapshot(files: Files, folder: Path) -> Snapshot | None:
    indexes = file_numbers(files, folder, SNAPSHOT_PREFIX)
    if not indexes:
        return None
    return decode_snapshot(read_single_frame(files, snapshot_path(folder, indexes[-1])))


def _read_log(files: Files, folder: Path, folder_content: FolderContent) -> None:
    segment_numbers = _needed_segments(files, folder, folder_content)
    replay: Replay | None = None
    for number in segment_numbers:
        content, scan, base = _read_segment(files, folder, number, number == segment_numbers[-1])
        replay = replay or Replay(base)
        replay.restart_at(base)
        _add_batches(replay, scan.payloads[1:])
        folder_content.segments.append(Segment(number, base))
        folder_content.tail = content[: scan.valid_bytes]
        folder_content.cut_bytes = len(content) - scan.valid_bytes
    assert replay is not None
    _keep_records_after_snapshot(folder_content, replay)


def _needed_segments(files: Files, folder: Path, folder_content: FolderContent) -> list[int]:
    """Return the numbers of the newest segments, back to one that begins within the snapshot.

    Older ones are leftovers: the removals of a compaction are undone one by one by a loss of power,
    so there may be gaps between them. A gap among the needed ones raises CorruptionError.
    """
    numbers = file_numbers(files, folder, SEGMENT_PREFIX)
    snapshot = folder_content.snapshot
    covered_index = snapshot.index if snapshot is not None else 0
    needed: list[int] = []
    for number in reversed(numbers):
        if needed and number != needed[0] - 1:
            break
        needed.insert(0, number)
        _, _, base = _read_segment(files, folder, number, number == numbers[-1])
        if base.index <= covered_index:
            older = numbers[: -len(needed)]
            folder_content.leftover_segments = [segment_path(folder, each) for each in older]
            return needed
    raise CorruptionError("a segment file is missing")


def _read_segment(
    files: Files, folder: Path, number: int, is_last: bool
) -> tuple[bytes, Scan, LogPosition]:
    """Return the content of a segment, its frames and its base."""
    path = segment_path(folder, number)
    content = files.read(path)
    scan = scan_frames(content)
    _check_segment(path.name, scan, is_last)
    return content, scan, decode_base(scan.payloads[0])


def _check_segment(name: str, scan: Scan, is_last: bool) -> None:
    if scan.corruption:
        raise CorruptionError(f"{name}: {scan.corruption}")
    if scan.torn and not is_last:
        raise CorruptionError(f"{name}: torn, although a newer segment exists")
    if not scan.payloads:
        raise CorruptionError(f"{name}: segment does not start with a base")


def _add_batches(replay: Replay, payloads: tuple[bytes, ...]) -> None:
    for payload in payloads:
        for record in decode_batch(payload):
            replay.add(record)


def _keep_records_after_snapshot(folder_content: FolderContent, replay: Replay) -> None:
    """Set the records after the snapshot; raise CorruptionError if there is a gap between them."""
    snapshot_end = LogPosition(0, 0)
    if folder_content.snapshot is not None:
        snapshot_end = LogPosition(folder_content.snapshot.index, folder_content.snapshot.term)
    if replay.base.index > snapshot_end.index:
        raise CorruptionError(
            f"the log starts after record {replay.base.index}, without a snapshot up to there"
        )
    records = replay.records_after(snapshot_end)
    folder_content.is_log_stale = records is None
    folder_content.records = records or []
