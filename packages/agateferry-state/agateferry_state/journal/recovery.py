"""Read what a data folder holds and judge whether it is one sound journal."""

import os
from dataclasses import dataclass, field
from pathlib import Path

from agateferry_state.journal.files import Files
from agateferry_state.journal.frames import Scan, scan_frames
from agateferry_state.journal.messages import Record, Snapshot, Vote
from agateferry_state.journal.records import (
    Base,
    ContradictionError,
    Replay,
    decode_base,
    decode_batch,
)
from agateferry_state.journal.sealed import (
    TEMPORARY_SUFFIX,
    decode_snapshot,
    decode_vote,
    read_sealed,
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
    """A segment file: its number and the base it goes on from."""

    number: int
    base: Base


@dataclass(slots=True)
class Found:
    """The content of a sound folder.

    `tail` is the sound part of the newest segment. `is_log_stale` tells that the log does not
    lead through the snapshot, as after a crash while a leader's snapshot was being installed;
    then the snapshot stands alone and the log has to begin anew above it.
    """

    incarnation: str
    vote: Vote
    snapshot: Snapshot | None
    segments: list[Segment] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)
    tail: bytes = b""
    cut_bytes: int = 0
    is_log_stale: bool = False


def segment_path(folder: Path, number: int) -> Path:
    """Return the path of a segment."""
    return folder / f"{SEGMENT_PREFIX}{number:0{NUMBER_DIGITS}d}"


def snapshot_path(folder: Path, index: int) -> Path:
    """Return the path of the snapshot that ends at `index`."""
    return folder / f"{SNAPSHOT_PREFIX}{index:0{NUMBER_DIGITS}d}"


def new_incarnation() -> str:
    """Return a name that no other data folder has."""
    return os.urandom(INCARNATION_BYTES).hex()


def remove_temporary(files: Files, folder: Path) -> None:
    """Remove what a crash left half written."""
    for name in files.names(folder):
        if name.endswith(TEMPORARY_SUFFIX):
            files.remove(folder / name)


def numbers(files: Files, folder: Path, prefix: str) -> list[int]:
    """Return the numbers of the files of one sort in order."""
    found = [name for name in files.names(folder) if name.startswith(prefix)]
    for name in found:
        if not name.removeprefix(prefix).isdecimal():
            raise ContradictionError(f"{name}: no file of the journal has such a name")
    return sorted(int(name.removeprefix(prefix)) for name in found)


def is_fresh(files: Files, folder: Path) -> bool:
    """Tell whether the folder has never held a journal.

    The incarnation is written last when a folder is set up, so a folder with a first segment and
    no vote or snapshot was left by a crash during its set-up.
    """
    names = set(files.names(folder)) - {LOCK_NAME}
    return INCARNATION_NAME not in names and names <= {segment_path(folder, 1).name}


def find(files: Files, folder: Path) -> Found:
    """Read a folder that has been set up, or raise ContradictionError where it is unsound."""
    try:
        incarnation = read_sealed(files, folder / INCARNATION_NAME).decode()
        found = Found(incarnation, _vote(files, folder), _newest_snapshot(files, folder))
    except FileNotFoundError as exc:
        raise ContradictionError(f"{Path(exc.filename).name}: missing") from exc
    _read_log(files, folder, found)
    return found


def _vote(files: Files, folder: Path) -> Vote:
    if VOTE_NAME not in files.names(folder):
        return Vote()
    return decode_vote(read_sealed(files, folder / VOTE_NAME))


def _newest_snapshot(files: Files, folder: Path) -> Snapshot | None:
    indexes = numbers(files, folder, SNAPSHOT_PREFIX)
    if not indexes:
        return None
    return decode_snapshot(read_sealed(files, snapshot_path(folder, indexes[-1])))


def _read_log(files: Files, folder: Path, found: Found) -> None:
    present = numbers(files, folder, SEGMENT_PREFIX)
    if not present or present != list(range(present[0], present[-1] + 1)):
        raise ContradictionError("a segment is missing")
    replay: Replay | None = None
    for number in present:
        path = segment_path(folder, number)
        content = files.read(path)
        scan = scan_frames(content)
        _check_segment(path.name, scan, is_last=number == present[-1])
        base = decode_base(scan.payloads[0])
        replay = replay or Replay(base)
        replay.restart_at(base)
        _add_batches(replay, scan.payloads[1:])
        found.segments.append(Segment(number, base))
        found.tail = content[: scan.good_bytes]
        found.cut_bytes = len(content) - scan.good_bytes
    assert replay is not None
    _join(found, replay)


def _check_segment(name: str, scan: Scan, is_last: bool) -> None:
    if scan.rotten:
        raise ContradictionError(f"{name}: {scan.rotten}")
    if scan.torn and not is_last:
        raise ContradictionError(f"{name}: cut short although a newer segment exists")
    if not scan.payloads:
        raise ContradictionError(f"{name}: the segment has no base")


def _add_batches(replay: Replay, payloads: tuple[bytes, ...]) -> None:
    for payload in payloads:
        for record in decode_batch(payload):
            replay.add(record)


def _join(found: Found, replay: Replay) -> None:
    """Keep the records above the snapshot."""
    end = Base(0, 0)
    if found.snapshot is not None:
        end = Base(found.snapshot.index, found.snapshot.term)
    if replay.base.index > end.index:
        raise ContradictionError(f"the log begins above {replay.base.index} without a snapshot")
    records = replay.after(end)
    found.is_log_stale = records is None
    found.records = records or []
