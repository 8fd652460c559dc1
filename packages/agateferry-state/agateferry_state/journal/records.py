"""The log's records as bytes, and the log that a sequence of batches leaves.

A segment file is a sequence of frames. Its first frame holds a base: the index and term of the
record after which the segment goes on. Every other frame is one batch of records that follow each
other without a gap. When a follower drops a conflicting tail, it begins a new segment whose base
is the last record that stays, so that no file is ever cut.
"""

import struct
from collections.abc import Iterable
from dataclasses import dataclass

from agateferry_state.journal.messages import Record

RECORD = struct.Struct("<QQBI")
BASE = struct.Struct("<4sQQ")
BASE_MAGIC = b"AGF1"


@dataclass(frozen=True, slots=True)
class Base:
    """The index and term just below the first record of a segment."""

    index: int
    term: int


class ContradictionError(Exception):
    """Say that sound frames do not make one log; recovery turns it into a lost disk."""


def encode_base(base: Base) -> bytes:
    """Return the payload of a segment's first frame."""
    return BASE.pack(BASE_MAGIC, base.index, base.term)


def decode_base(payload: bytes) -> Base:
    """Read the payload of a segment's first frame."""
    if len(payload) != BASE.size or not payload.startswith(BASE_MAGIC):
        raise ContradictionError("the segment has no base")
    _, index, term = BASE.unpack(payload)
    return Base(index, term)


def encode_batch(records: Iterable[Record]) -> bytes:
    """Return the payload of one batch."""
    parts: list[bytes] = []
    for record in records:
        parts.append(RECORD.pack(record.index, record.term, record.kind, len(record.data)))
        parts.append(record.data)
    return b"".join(parts)


def decode_batch(payload: bytes) -> list[Record]:
    """Read the records of one batch."""
    records: list[Record] = []
    offset = 0
    while offset < len(payload):
        if offset + RECORD.size > len(payload):
            raise ContradictionError("a batch ends within a record")
        index, term, kind, length = RECORD.unpack_from(payload, offset)
        offset += RECORD.size
        records.append(Record(index, term, payload[offset : offset + length], kind))
        offset += length
    if offset != len(payload):
        raise ContradictionError("a batch ends within a record")
    return records


class Replay:
    """Build the log from bases and batches in the order in which they were written."""

    def __init__(self, base: Base) -> None:
        self.base = base
        self.records: list[Record] = []

    @property
    def last(self) -> Base:
        """Return the index and term of the last record, or the base where there is none."""
        if not self.records:
            return self.base
        return Base(self.records[-1].index, self.records[-1].term)

    def restart_at(self, base: Base) -> None:
        """Go on from a segment's base, dropping the records above it, or all if it is unknown."""
        kept = self.after(base)
        if kept is None:
            self.base = base
            self.records = []
        elif kept:
            del self.records[-len(kept) :]

    def add(self, record: Record) -> None:
        """Add the record that follows the last one."""
        if record.index != self.last.index + 1:
            raise ContradictionError(f"record {record.index} does not follow {self.last.index}")
        self.records.append(record)

    def after(self, base: Base) -> list[Record] | None:
        """Return the records above a snapshot, or None where the log does not lead through it."""
        position = base.index - self.base.index
        if position < 0 or position > len(self.records):
            return None
        found = self.base if position == 0 else self.records[position - 1]
        if (found.index, found.term) != (base.index, base.term):
            return None
        return self.records[position:]
