"""Frames with checksums, and the verdict on bytes that are no frame.

A frame is a header and a payload. The header holds the payload's length, the CRC-32 of the
length and payload together, and the CRC-32 of the header's first two fields, so that a rotten
length is told from a frame that was cut short. One frame is one batch: the next one is written
only after the sync of this one returned. Hence a damaged frame with anything behind it was synced
and has rotted, whereas a damaged last frame may be the torn write of a crash. A crash leaves it
short, or with sectors that were never written and read as zeros; a last frame that is whole in
length, has no such sector and fails its checksum has rotted too. Telling the two apart is the
point of "Protocol-Aware Recovery for Consensus-Based Storage" (FAST 2018).
"""

import struct
import zlib
from dataclasses import dataclass

HEADER = struct.Struct("<III")
CHECKED = struct.Struct("<II")
LENGTH = struct.Struct("<I")
SECTOR_BYTES = 512
MAX_PAYLOAD_BYTES = 1 << 30


@dataclass(frozen=True, slots=True)
class Scan:
    """The whole frames of a file and what stands behind them.

    `good_bytes` is the length of the whole frames together. `torn` tells that a cut-short last
    frame follows; `rotten` describes damage that no crash can explain, or is empty.
    """

    payloads: tuple[bytes, ...]
    good_bytes: int
    torn: bool = False
    rotten: str = ""


def encode_frame(payload: bytes) -> bytes:
    """Return `payload` with its header in front."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"a frame of {len(payload)} bytes is over {MAX_PAYLOAD_BYTES}")
    checked = CHECKED.pack(len(payload), _payload_crc(payload))
    return checked + LENGTH.pack(zlib.crc32(checked)) + payload


def scan_frames(data: bytes) -> Scan:
    """Read frames until the end of `data` or the first damage, and judge the damage."""
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = frame_at(data, offset)
        if payload is None:
            return _judge(data, offset, tuple(payloads))
        payloads.append(payload)
        offset += HEADER.size + len(payload)
    return Scan(tuple(payloads), offset)


def frame_at(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the whole and sound frame at `offset`, or None."""
    length = _length_at(data, offset)
    if length is None or offset + HEADER.size + length > len(data):
        return None
    start = offset + HEADER.size
    payload = data[start : start + length]
    _, crc, _ = HEADER.unpack_from(data, offset)
    return payload if _payload_crc(payload) == crc else None


def _payload_crc(payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(LENGTH.pack(len(payload))))


def _length_at(data: bytes, offset: int) -> int | None:
    if offset + HEADER.size > len(data):
        return None
    length, _, header_crc = HEADER.unpack_from(data, offset)
    checked = data[offset : offset + CHECKED.size]
    return int(length) if zlib.crc32(checked) == header_crc else None


def _judge(data: bytes, offset: int, payloads: tuple[bytes, ...]) -> Scan:
    """Tell a torn last frame from rot, given that no sound frame stands at `offset`."""
    torn = Scan(payloads, offset, torn=True)
    rotten = Scan(payloads, offset, rotten=f"bad checksum at byte {offset}")
    if len(data) - offset < HEADER.size:
        return torn
    length = _length_at(data, offset)
    if length is not None:
        end = offset + HEADER.size + length
        if end > len(data):
            return torn
        is_last = end == len(data)
        return torn if is_last and _has_unwritten_sector(data, offset) else rotten
    if not _has_unwritten_sector(data, offset) or _has_frame_after(data, offset):
        return rotten
    return torn


def _has_unwritten_sector(data: bytes, start: int) -> bool:
    while start < len(data):
        end = min(len(data), (start // SECTOR_BYTES + 1) * SECTOR_BYTES)
        if not any(data[start:end]):
            return True
        start = end
    return False


def _has_frame_after(data: bytes, offset: int) -> bool:
    last = len(data) - HEADER.size
    return any(frame_at(data, start) is not None for start in range(offset + 1, last + 1))
