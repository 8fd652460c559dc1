"""Choose the reader and the writer of a record's content by its schema.

For example `render_content(record, Schema.V1)` gives what a caller of v1 gets to see of a record.
"""

from typing import Any, assert_never

from agateferry_state.records import schema_v1, schema_v2
from agateferry_state.records.bounds import Content
from agateferry_state.records.forms import (
    ConfigRecord,
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
}


def render_content(record: Record, schema: Schema) -> dict[str, Any]:
    """Return a record's content as JSON in the form of a schema."""
    module: Any = schema_v1 if schema is Schema.V1 else schema_v2
    content: dict[str, Any]
    match record:
        case JobRecord():
            content = module.show_job(record)
        case TeamRecord():
            content = module.show_team(record)
        case ConfigRecord():
            content = module.show_config(record)
        case _:
            assert_never(record)
    return content


def read(content: Content, standing: Record | None) -> Record:
    """Return the internal form of a content that its model has validated."""
    match content:
        case schema_v2.JobV2():
            return schema_v2.read_job(content)
        case schema_v2.TeamV2():
            return schema_v2.read_team(content)
        case schema_v2.ConfigV2():
            return schema_v2.read_config(content)
        case schema_v1.JobV1():
            return schema_v1.read_job(content, _as(JobRecord, standing))
        case schema_v1.TeamV1():
            return schema_v1.read_team(content, _as(TeamRecord, standing))
        case schema_v1.ConfigV1():
            return schema_v1.read_config(content, _as(ConfigRecord, standing))
    raise TypeError(f"no reader for {type(content).__name__}")


def _as(form: type[Any], standing: Record | None) -> Any:
    return standing if isinstance(standing, form) else None
