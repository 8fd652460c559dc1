"""Encode puts, revisions and whole stores for logs, snapshots and messages between hosts.

The encoding is JSON, and a snapshot is JSON lines. Decoding does not validate contents again: they
were validated when they were accepted, and a stricter check in a later release must not keep a host
from reading its own state.
"""

import json
from collections.abc import Iterable
from typing import Any

from agateferry_core.demand import Adjacency, Demand, Shape, Urgency
from agateferry_state.records.messages import RecordPut, Revision
from agateferry_state.records.record_types import (
    ConfigRecord,
    EvacuationRecord,
    JobRecord,
    Kind,
    Record,
    Schema,
    TeamRecord,
    WeightsRecord,
    ZoneGuarantee,
)
from agateferry_state.records.schemas import render_content

SNAPSHOT_FORMAT = 1


def encode_put(put: RecordPut) -> bytes:
    """Return a put as one command of a replicated log."""
    fields = {
        "kind": put.kind,
        "name": put.name,
        "schema": put.schema,
        "replaces": put.replaces,
        "content": put.content,
        "operator": put.operator,
    }
    return _dump(fields)


def decode_put(data: bytes) -> RecordPut:
    """Return the put of a command that `encode_put` made."""
    fields = json.loads(data)
    return RecordPut(
        Kind(fields["kind"]),
        fields["name"],
        Schema(fields["schema"]),
        fields["replaces"],
        fields["content"],
        fields["operator"],
    )


def encode_revisions(revisions: Iterable[Revision]) -> bytes:
    """Return revisions in the form in which the records plane sends them to a cell."""
    return _dump([_revision_fields(revision) for revision in revisions])


def decode_revisions(data: bytes) -> tuple[Revision, ...]:
    """Return the revisions of a message that `encode_revisions` made."""
    return tuple(_revision(fields) for fields in json.loads(data))


def encode_revision(revision: Revision) -> bytes:
    """Return one revision as a line of a snapshot."""
    return _dump(_revision_fields(revision))


def decode_revision(line: bytes) -> Revision:
    """Return the revision of a line that `encode_revision` made."""
    return _revision(json.loads(line))


def encode_store(revision: int, lines: Iterable[bytes]) -> bytes:
    """Return a snapshot: a line with the newest revision number, then the line of each revision."""
    return b"\n".join((_dump({"form": SNAPSHOT_FORMAT, "revision": revision}), *lines))


def decode_store(data: bytes) -> tuple[int, list[bytes]]:
    """Return the newest revision number of a snapshot and the lines of its revisions."""
    head, *lines = data.split(b"\n")
    fields = json.loads(head)
    if fields["form"] != SNAPSHOT_FORMAT:
        raise ValueError(
            f"records snapshot has format {fields['form']}; only {SNAPSHOT_FORMAT} is supported"
        )
    return int(fields["revision"]), lines


def _dump(fields: Any) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()


def _revision_fields(revision: Revision) -> dict[str, Any]:
    return {
        "number": revision.number,
        "kind": revision.kind,
        "name": revision.name,
        "version": revision.version,
        "record": render_content(revision.record, Schema.V2),
        "schema": revision.schema,
        "digest": revision.digest,
        "operator": revision.operator,
    }


def _revision(fields: dict[str, Any]) -> Revision:
    kind = Kind(fields["kind"])
    return Revision(
        fields["number"],
        kind,
        fields["name"],
        fields["version"],
        _record(kind, fields["record"]),
        Schema(fields["schema"]),
        fields["digest"],
        fields["operator"],
    )


def _record(kind: Kind, fields: dict[str, Any]) -> Record:
    match kind:
        case Kind.JOB:
            return _job(fields)
        case Kind.TEAM:
            return _team(fields)
        case Kind.CONFIG:
            return _config(fields)
        case Kind.EVACUATION:
            return EvacuationRecord(**fields)


def _job(fields: dict[str, Any]) -> JobRecord:
    demand = {**fields["demand"], "adjacency": Adjacency(fields["demand"]["adjacency"])}
    urgency = Urgency(fields["urgency"])
    return JobRecord(**{**fields, "demand": Demand(**demand), "urgency": urgency})


def _team(fields: dict[str, Any]) -> TeamRecord:
    guarantees = tuple(
        ZoneGuarantee(entry["zone"], tuple(_shape(shape) for shape in entry["shapes"]))
        for entry in fields["guarantees"]
    )
    return TeamRecord(float(fields["weight"]), fields["max_queued"], guarantees)


def _shape(fields: dict[str, Any]) -> Shape:
    return Shape(**{**fields, "adjacency": Adjacency(fields["adjacency"])})


def _config(fields: dict[str, Any]) -> ConfigRecord:
    weights = fields.get("weights")
    return ConfigRecord(**{**fields, "weights": WeightsRecord(**weights) if weights else None})
