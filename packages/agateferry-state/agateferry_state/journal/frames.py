"""Encode and scan frames with checksums, and tell a torn write from corruption.

A frame is a header and a payload. The header holds the payload's length in bytes, the CRC-32 of
length and payload together, and the CRC-32 of the header's first two fields. The header's own
checksum distinguishes a corrupt length from a frame that is cut short.

One frame is one batch, and the next frame is written only after the sync of this one returned.
Hence a damaged frame that is followed by other data was synced and is corrupt, whereas a damaged
last frame may be a write that a crash interrupted (a torn write). A torn frame is too short, or has
sectors that were never written and read as zeros. A last frame of full length without such a
sector that fails its checksum is corrupt too. "Protocol-Aware Recovery for Consensus-Based
Storage" (FAST 2018) explains why recovery must distinguish the two cases.
"""

import struct
import zlib
from dataclasses import dataclass

HEADER = struct.Struct("<III")
CHECKED_FIELDS = struct.Struct("<II")
LENGTH = struct.Struct("<I")
SECTOR_BYTES = 512
MAX_PAYLOAD_BYTES = 1 << 30


@dataclass(frozen=True, slots=True)
class Scan:
    """The payloads of a file's valid frames, and the kind of damage that follows them, if any.

    `valid_bytes` is the total length of the valid frames, with their headers. `torn` is true if a
    torn frame follows them. `corruption` describes damage that no crash explains, or is empty.
    """

    payloads: tuple[bytes, ...]
    valid_bytes: int
    torn: bool = False
    corruption: str = ""


def encode_frame(payload: bytes) -> bytes:
    """Return `payload` after its header; raise ValueError if it is over `MAX_PAYLOAD_BYTES`."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(
            f"frame payload has {len(payload)} bytes; the maximum is {MAX_PAYLOAD_BYTES}"
        )
    checked_fields = CHECKED_FIELDS.pack(len(payload), _payload_crc(payload))
    return checked_fields + LENGTH.pack(zlib.crc32(checked_fields)) + payload


def scan_frames(data: bytes) -> Scan:
    """Read frames up to the end of `data` or the first damage, and classify the damage."""
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = frame_at(data, offset)
        if payload is None:
            return _classify_damage(data, offset, tuple(payloads))
        payloads.append(payload)
        offset += HEADER.size + len(payload)
    return Scan(tuple(payloads), offset)


def frame_at(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at `offset`, or None unless it is complete and valid."""
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
    checked_fields = data[offset : offset + CHECKED_FIELDS.size]
    return int(length) if zlib.crc32(checked_fields) == header_crc else None


def _classify_damage(data: bytes, offset: int, payloads: tuple[bytes, ...]) -> Scan:
    """Classify the bytes from `offset` on, where no valid frame starts, as torn or corrupt."""
    torn = Scan(payloads, offset, torn=True)
    corrupt = Scan(payloads, offset, corruption=f"bad checksum at byte {offset}")
    if len(data) - offset < HEADER.size:
        return torn
    length = _length_at(data, offset)
    if length is not None:
        end = offset + HEADER.size + length
        if end > len(data):
            return torn
        is_last = end == len(data)
        return torn if is_last and _has_unwritten_sector(data, offset) else corrupt
    if not _has_unwritten_sector(data, offset) or _has_frame_after(data, offset):
        return corrupt
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
