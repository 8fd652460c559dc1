"""Conversion of replication messages to and from protobuf.

Messages whose fields are only numbers and flags have the same field names in protobuf and are
converted by `dataclasses.fields`. Entries, members and snapshots have a function each.
"""

from dataclasses import dataclass, fields
from typing import Any

from agateferry_state.members import Member, MemberId, Members
from agateferry_state.replication.messages import (
    AppendRequest,
    AppendResponse,
    EntryKind,
    Greeting,
    GreetingRequest,
    LogEntry,
    Message,
    SnapshotChunk,
    SnapshotMeta,
    SnapshotResponse,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)
from agateferry_state.rpc import replication_pb2 as pb

ENTRY_KIND_NUMBERS = {EntryKind.COMMAND: 0, EntryKind.NOOP: 1, EntryKind.MEMBERS: 2}
ENTRY_KINDS_BY_NUMBER = {number: kind for kind, number in ENTRY_KIND_NUMBERS.items()}


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message from one member of a group to another."""

    group: str
    sender: MemberId
    recipient: MemberId
    message: Message

    @property
    def is_heartbeat(self) -> bool:
        """Return whether this is an append without entries, which a newer message supersedes."""
        return isinstance(self.message, AppendRequest) and not self.message.entries

    @property
    def is_bulk(self) -> bool:
        """Return whether the message carries log entries or a snapshot chunk."""
        if isinstance(self.message, AppendRequest):
            return bool(self.message.entries)
        return isinstance(self.message, SnapshotChunk)


def encode_envelope(envelope: Envelope) -> pb.Envelope:
    """Convert an envelope to protobuf."""
    name, encode = ENCODERS[type(envelope.message)]
    return pb.Envelope(
        group=envelope.group,
        sender=_encode_id(envelope.sender),
        recipient=_encode_id(envelope.recipient),
        **{name: encode(envelope.message)},
    )


def decode_envelope(wire: pb.Envelope) -> Envelope:
    """Convert an envelope from protobuf; raises ValueError for unknown types or field values."""
    name = wire.WhichOneof("message")
    if name is None:
        raise ValueError("envelope without a message type known to this release")
    try:
        message = DECODERS[name](getattr(wire, name))
    except (KeyError, TypeError) as exc:
        raise ValueError(f"{name} has a field value unknown to this release") from exc
    return Envelope(wire.group, _decode_id(wire.sender), _decode_id(wire.recipient), message)


def _encode_id(member: MemberId) -> pb.MemberId:
    return pb.MemberId(host=member.host, incarnation=member.incarnation)


def _decode_id(wire: pb.MemberId) -> MemberId:
    return MemberId(wire.host, wire.incarnation)


def _encode_member(member: Member) -> pb.Member:
    return pb.Member(id=_encode_id(member.id), has_disk=member.has_disk, address=member.address)


def _decode_member(wire: pb.Member) -> Member:
    return Member(_decode_id(wire.id), wire.has_disk, wire.address)


def _encode_entry(entry: LogEntry) -> pb.LogEntry:
    kind = pb.EntryKind.ValueType(ENTRY_KIND_NUMBERS[entry.kind])
    return pb.LogEntry(index=entry.index, term=entry.term, kind=kind, data=entry.data)


def _decode_entry(wire: pb.LogEntry) -> LogEntry:
    return LogEntry(wire.index, wire.term, ENTRY_KINDS_BY_NUMBER[wire.kind], wire.data)


def _encode_meta(meta: SnapshotMeta) -> pb.SnapshotMeta:
    return pb.SnapshotMeta(
        index=meta.index,
        term=meta.term,
        members=meta.members.encode(),
        size=meta.size,
        checksum=meta.checksum,
    )


def _decode_meta(wire: pb.SnapshotMeta) -> SnapshotMeta:
    members = Members.decode(wire.members)
    return SnapshotMeta(wire.index, wire.term, members, wire.size, wire.checksum)


def _encode_fields(wire_type: Any) -> Any:
    return lambda message: wire_type(
        **{field.name: getattr(message, field.name) for field in fields(message)}
    )


def _decode_fields(message_type: Any) -> Any:
    names = [field.name for field in fields(message_type)]
    return lambda wire: message_type(**{name: getattr(wire, name) for name in names})


def _encode_append(message: AppendRequest) -> pb.AppendRequest:
    return pb.AppendRequest(
        term=message.term,
        prev_index=message.prev_index,
        prev_term=message.prev_term,
        commit_index=message.commit_index,
        round=message.round,
        entries=[_encode_entry(entry) for entry in message.entries],
    )


def _decode_append(wire: pb.AppendRequest) -> AppendRequest:
    entries = tuple(_decode_entry(entry) for entry in wire.entries)
    return AppendRequest(
        wire.term, wire.prev_index, wire.prev_term, wire.commit_index, wire.round, entries
    )


def _encode_chunk(message: SnapshotChunk) -> pb.SnapshotChunk:
    return pb.SnapshotChunk(
        term=message.term,
        meta=_encode_meta(message.meta),
        offset=message.offset,
        data=message.data,
        round=message.round,
    )


def _decode_chunk(wire: pb.SnapshotChunk) -> SnapshotChunk:
    return SnapshotChunk(wire.term, _decode_meta(wire.meta), wire.offset, wire.data, wire.round)


def _encode_greeting(message: Greeting) -> pb.Greeting:
    return pb.Greeting(
        term=message.term,
        member=_encode_member(message.member),
        is_empty=message.is_empty,
        nonce=message.nonce,
        joins_only=message.joins_only,
    )


def _decode_greeting(wire: pb.Greeting) -> Greeting:
    member = _decode_member(wire.member)
    return Greeting(wire.term, member, wire.is_empty, wire.nonce, wire.joins_only)


ENCODERS: dict[type, tuple[str, Any]] = {
    VoteRequest: ("vote_request", _encode_fields(pb.VoteRequest)),
    VoteResponse: ("vote_response", _encode_fields(pb.VoteResponse)),
    AppendRequest: ("append_request", _encode_append),
    AppendResponse: ("append_response", _encode_fields(pb.AppendResponse)),
    SnapshotChunk: ("snapshot_chunk", _encode_chunk),
    SnapshotResponse: ("snapshot_response", _encode_fields(pb.SnapshotResponse)),
    TimeoutNow: ("timeout_now", _encode_fields(pb.TimeoutNow)),
    Greeting: ("greeting", _encode_greeting),
    GreetingRequest: ("greeting_request", _encode_fields(pb.GreetingRequest)),
}

DECODERS: dict[str, Any] = {
    "vote_request": _decode_fields(VoteRequest),
    "vote_response": _decode_fields(VoteResponse),
    "append_request": _decode_append,
    "append_response": _decode_fields(AppendResponse),
    "snapshot_chunk": _decode_chunk,
    "snapshot_response": _decode_fields(SnapshotResponse),
    "timeout_now": _decode_fields(TimeoutNow),
    "greeting": _decode_greeting,
    "greeting_request": _decode_fields(GreetingRequest),
}
