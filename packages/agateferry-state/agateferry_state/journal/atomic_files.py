"""Files that are replaced atomically: the incarnation, the vote and snapshots.

Such a file holds one frame. It is written under a temporary name, synced and renamed, and then the
folder is synced, so that after a crash the file has either the old content or the new. Since a
rename is atomic, a damaged file is corrupt and never a torn write.
"""

import struct
from pathlib import Path

from agateferry_state.journal.files import Files
from agateferry_state.journal.frames import encode_frame, scan_frames
from agateferry_state.journal.messages import Snapshot, Vote
from agateferry_state.journal.records import CorruptionError

TEMPORARY_SUFFIX = ".tmp"
TERM = struct.Struct("<Q")
SNAPSHOT_HEADER = struct.Struct("<QQ")


def write_atomically(files: Files, path: Path, payload: bytes) -> None:
    """Replace a file by one that holds `payload`, and sync the file and its folder entry."""
    files.close(create_synced(files, path, encode_frame(payload)))


def create_synced(files: Files, path: Path, content: bytes) -> int:
    """Replace a file by `content` durably, and return an open descriptor for appending."""
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    fd = files.create(temporary)
    try:
        files.write(fd, content)
        files.sync(fd)
        files.rename(temporary, path)
        files.sync_folder(path.parent)
    except OSError:
        files.close(fd)
        raise
    return fd


def read_single_frame(files: Files, path: Path) -> bytes:
    """Return the payload of an atomically replaced file; raise CorruptionError if it is damaged."""
    scan = scan_frames(files.read(path))
    if scan.torn or scan.corruption or len(scan.payloads) != 1:
        raise CorruptionError(f"{path.name}: bad checksum")
    return scan.payloads[0]


def encode_vote(vote: Vote) -> bytes:
    """Return the payload of the vote file."""
    return TERM.pack(vote.term) + vote.voted_for.encode()


def decode_vote(payload: bytes) -> Vote:
    """Read the payload of the vote file."""
    return Vote(TERM.unpack_from(payload)[0], payload[TERM.size :].decode())


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the payload of a snapshot file."""
    return SNAPSHOT_HEADER.pack(snapshot.index, snapshot.term) + snapshot.data


def decode_snapshot(payload: bytes) -> Snapshot:
    """Read the payload of a snapshot file."""
    index, term = SNAPSHOT_HEADER.unpack_from(payload)
    return Snapshot(index, term, payload[SNAPSHOT_HEADER.size :])
