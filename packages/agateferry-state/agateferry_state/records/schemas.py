"""Convert between records and their contents in each schema.

For example, `render_content(record, Schema.V1)` returns the fields of a record that v1 has.
"""

from typing import Any, assert_never

from agateferry_state.records import schema_v1, schema_v2
from agateferry_state.records.bounds import Content
from agateferry_state.records.record_types import (
    ConfigRecord,
    EvacuationRecord,
    JobRecord,
    Kind,
    Record,
    Schema,
    TeamRecord,
)

MODELS: dict[tuple[Kind, Schema], type[Content]] = {
    (Kind.JOB, Schema.V1): schema_v1.JobV1,
    (Kind.JOB, Schema.V2): schema_v2.JobV2,
    (Kind.TEAM, Schema.V1): schema_v1.TeamV1,
    (Kind.TEAM, Schema.V2): schema_v2.TeamV2,
    (Kind.CONFIG, Schema.V1): schema_v1.ConfigV1,
    (Kind.CONFIG, Schema.V2): schema_v2.ConfigV2,
    (Kind.EVACUATION, Schema.V1): schema_v2.EvacuationV2,
    (Kind.EVACUATION, Schema.V2): schema_v2.EvacuationV2,
}


def render_content(record: Record, schema: Schema) -> dict[str, Any]:
    """Return a record's content as JSON in a schema."""
    module: Any = schema_v1 if schema is Schema.V1 else schema_v2
    content: dict[str, Any]
    match record:
        case JobRecord():
            content = module.render_job(record)
        case TeamRecord():
            content = module.render_team(record)
        case ConfigRecord():
            content = module.render_config(record)
        case EvacuationRecord():
            content = schema_v2.render_evacuation(record)
        case _:
            assert_never(record)
    return content


def to_record(content: Content, current: Record | None) -> Record:
    """Return the record for a validated content; fields that v1 lacks come from `current`."""
    match content:
        case schema_v2.JobV2():
            return schema_v2.read_job(content)
        case schema_v2.TeamV2():
            return schema_v2.read_team(content)
        case schema_v2.ConfigV2():
            return schema_v2.read_config(content)
        case schema_v2.EvacuationV2():
            return schema_v2.read_evacuation(content)
        case schema_v1.JobV1():
            return schema_v1.read_job(content, _if_instance(JobRecord, current))
        case schema_v1.TeamV1():
            return schema_v1.read_team(content, _if_instance(TeamRecord, current))
        case schema_v1.ConfigV1():
            return schema_v1.read_config(content, _if_instance(ConfigRecord, current))
    raise TypeError(f"no reader for {type(content).__name__}")


def _if_instance(record_type: type[Any], current: Record | None) -> Any:
    return current if isinstance(current, record_type) else None
