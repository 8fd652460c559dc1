"""Versioned records that operators write: teams, jobs, scheduling configuration, evacuations."""

from agateferry_state.records.checks import parse_put, read_content
from agateferry_state.records.codec import (
    decode_put,
    decode_revisions,
    encode_put,
    encode_revisions,
)
from agateferry_state.records.machine import RecordsMachine
from agateferry_state.records.messages import (
    Accepted,
    Conflict,
    ContentProblem,
    Invalid,
    PutOutcome,
    RecordPut,
    Revision,
)
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
from agateferry_state.records.store import RecordStore

__all__ = [
    "Accepted",
    "ConfigRecord",
    "Conflict",
    "ContentProblem",
    "EvacuationRecord",
    "Invalid",
    "JobRecord",
    "Kind",
    "PutOutcome",
    "Record",
    "RecordPut",
    "RecordStore",
    "RecordsMachine",
    "Revision",
    "Schema",
    "TeamRecord",
    "WeightsRecord",
    "ZoneGuarantee",
    "decode_put",
    "decode_revisions",
    "encode_put",
    "encode_revisions",
    "parse_put",
    "read_content",
    "render_content",
]
