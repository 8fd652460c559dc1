"""Small files that are replaced as a whole: the incarnation, the vote and snapshots.

A sealed file holds one frame. It is written under another name, synced, renamed and the folder
synced, so that after a crash there is either the old content or the new. Since a rename is never
seen half done, a damaged sealed file has rotted.
"""

import struct
from pathlib import Path

from agateferry_state.journal.files import Files
from agateferry_state.journal.frames import encode_frame, scan_frames
from agateferry_state.journal.messages import Snapshot, Vote
from agateferry_state.journal.records import ContradictionError

TEMPORARY_SUFFIX = ".tmp"
TERM = struct.Struct("<Q")
SNAPSHOT_HEADER = struct.Struct("<QQ")


def write_sealed(files: Files, path: Path, payload: bytes) -> None:
    """Replace a file by one that holds `payload`, synced together with its folder entry."""
    files.close(create_synced(files, path, encode_frame(payload)))


def create_synced(files: Files, path: Path, content: bytes) -> int:
    """Replace a file by `content`, synced, and return a descriptor to append by."""
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


def read_sealed(files: Files, path: Path) -> bytes:
    """Return the payload of a sealed file, or raise ContradictionError where it has rotted."""
    scan = scan_frames(files.read(path))
    if scan.torn or scan.rotten or len(scan.payloads) != 1:
        raise ContradictionError(f"{path.name}: bad checksum")
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
