"""Encode the records of the log, and rebuild the log from the batches of its segments.

A segment file is a sequence of frames. The first frame holds the base of the segment: the index
and term of the record that precedes the segment's first record. Every other frame is one batch of
records with consecutive indexes. When a follower drops a conflicting tail of its log, it starts a
new segment whose base is the last record that is kept, so that no file is ever truncated.
"""

import struct
from collections.abc import Iterable
from dataclasses import dataclass

from agateferry_state.journal.messages import Record

RECORD = struct.Struct("<QQBI")
BASE = struct.Struct("<4sQQ")
BASE_MAGIC = b"AGF1"


@dataclass(frozen=True, slots=True)
class LogPosition:
    """The index and term of a record; the base of a segment or log precedes its first record."""

    index: int
    term: int


class CorruptionError(Exception):
    """Report a corrupt file or frames that form no consistent log; `open` returns LOST_DISK."""


def encode_base(base: LogPosition) -> bytes:
    """Return the payload of a segment's first frame."""
    return BASE.pack(BASE_MAGIC, base.index, base.term)


def decode_base(payload: bytes) -> LogPosition:
    """Read the payload of a segment's first frame; raise CorruptionError if it is no base."""
    if len(payload) != BASE.size or not payload.startswith(BASE_MAGIC):
        raise CorruptionError("segment does not start with a base")
    _, index, term = BASE.unpack(payload)
    return LogPosition(index, term)


def encode_batch(records: Iterable[Record]) -> bytes:
    """Return the records of one batch as the payload of a frame."""
    parts: list[bytes] = []
    for record in records:
        parts.append(RECORD.pack(record.index, record.term, record.kind, len(record.data)))
        parts.append(record.data)
    return b"".join(parts)


def decode_batch(payload: bytes) -> list[Record]:
    """Read the records of one batch; raise CorruptionError if the last one is incomplete."""
    records: list[Record] = []
    offset = 0
    while offset < len(payload):
        if offset + RECORD.size > len(payload):
            raise CorruptionError("batch ends in the middle of a record")
        index, term, kind, length = RECORD.unpack_from(payload, offset)
        offset += RECORD.size
        records.append(Record(index, term, payload[offset : offset + length], kind))
        offset += length
    if offset != len(payload):
        raise CorruptionError("batch ends in the middle of a record")
    return records


class Replay:
    """Rebuild the log from the bases and batches of the segments, added in order of writing."""

    def __init__(self, base: LogPosition) -> None:
        self.base = base
        self.records: list[Record] = []

    @property
    def last(self) -> LogPosition:
        """Return the position of the last record, or the base if there are no records."""
        if not self.records:
            return self.base
        return LogPosition(self.records[-1].index, self.records[-1].term)

    def restart_at(self, base: LogPosition) -> None:
        """Continue at a segment's base and drop the records after it.

        If the log does not contain this base, drop the whole log and start at the base.
        """
        kept = self.records_after(base)
        if kept is None:
            self.base = base
            self.records = []
        elif kept:
            del self.records[-len(kept) :]

    def add(self, record: Record) -> None:
        """Add the next record; raise CorruptionError if its index does not follow the last one."""
        if record.index != self.last.index + 1:
            raise CorruptionError(f"record {record.index} does not follow {self.last.index}")
        self.records.append(record)

    def records_after(self, base: LogPosition) -> list[Record] | None:
        """Return the records after a position, or None if the log does not contain the position."""
        position = base.index - self.base.index
        if position < 0 or position > len(self.records):
            return None
        found = self.base if position == 0 else self.records[position - 1]
        if (found.index, found.term) != (base.index, base.term):
            return None
        return self.records[position:]
