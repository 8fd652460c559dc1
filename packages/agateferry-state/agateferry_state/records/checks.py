"""Validate the puts that operators send: names, schema versions and contents.

A put that fails here is rejected as a whole, with all of its problems listed at once.
"""

import difflib
import json
import re
from typing import Any

from expression import Error, Ok, Result
from pydantic import ValidationError

from agateferry_state.records.bounds import ZONE_PATTERN, Content
from agateferry_state.records.messages import ContentProblem, Invalid, RecordPut
from agateferry_state.records.record_types import Kind, Record, Schema
from agateferry_state.records.schemas import MODELS, to_record

MAX_CONTENT_BYTES = 65_536
MAX_OPERATOR_CHARS = 128
MAX_SHOWN_CHARS = 60
MAX_VERSION = 2**53
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
CONFIG_NAMES = ("scheduling",)
ZONE_NAME = re.compile(ZONE_PATTERN)
BODY_FIELDS = ("schema", "replaces", "content")


def parse_put(kind: str, name: str, body: Any, operator: str = "") -> Result[RecordPut, Invalid]:
    """Return the put described by a path and a parsed JSON body, or all problems with it.

    For example `parse_put("job", "barn-count", {"schema": "v2", "replaces": 0, "content": {}})`.
    The content is validated too, without the version that it replaces.
    """
    problems = _name_problems(kind, name) + _body_problems(body)
    if len(operator) > MAX_OPERATOR_CHARS:
        problems.append(ContentProblem("operator", f"at most {MAX_OPERATOR_CHARS} characters"))
    if problems:
        return Error(Invalid(tuple(problems)))
    schema = Schema(body["schema"])
    put = RecordPut(Kind(kind), name, schema, body["replaces"], body["content"], operator)
    checked = read_content(put.kind, put.schema, put.content, None)
    return checked.map(lambda _: put)


def read_content(
    kind: Kind, schema: Schema, content: dict[str, Any], current: Record | None
) -> Result[Record, Invalid]:
    """Validate a content and return it as a record.

    `current` is the record that it replaces, or None; fields that `schema` lacks are taken from it.
    """
    try:
        size = len(canonical_json(content))
    except (ValueError, TypeError, RecursionError):
        return _invalid("content", "is not plain JSON; leave out NaN, infinities and deep nesting")
    if size > MAX_CONTENT_BYTES:
        return _invalid("content", f"takes {size} bytes; at most {MAX_CONTENT_BYTES} are allowed")
    model = MODELS[kind, schema]
    try:
        valid = model.model_validate(content)
    except ValidationError as exc:
        errors = exc.errors(include_url=False, include_context=False)
        return Error(Invalid(tuple(_content_problem(model, dict(error)) for error in errors)))
    return Ok(to_record(valid, current))


def canonical_json(content: Any) -> bytes:
    """Return JSON with sorted keys and no white space, so that equal contents have equal bytes."""
    text = json.dumps(content, sort_keys=True, separators=(",", ":"), allow_nan=False)
    return text.encode()


def name_problems(kind: Kind, name: str) -> list[ContentProblem]:
    """Return the problems with the name of a record of a kind, if any."""
    if kind is Kind.CONFIG and name not in CONFIG_NAMES:
        return [ContentProblem("name", f"must be {' or '.join(CONFIG_NAMES)} for kind config")]
    if kind is Kind.EVACUATION and ZONE_NAME.fullmatch(name) is None:
        return [ContentProblem("name", "must be a zone's name for kind evacuation")]
    if NAME_PATTERN.fullmatch(name) is None:
        allowed = "needs 1 to 63 lowercase letters, digits, dots, hyphens and underscores"
        return [ContentProblem("name", f"{allowed}, and begins with a letter or digit")]
    return []


def _invalid(field: str, detail: str) -> Result[Record, Invalid]:
    return Error(Invalid((ContentProblem(field, detail),)))


def _name_problems(kind: str, name: str) -> list[ContentProblem]:
    if kind not in list(Kind):
        return [ContentProblem("kind", f"{_abbreviated(kind)} is not one of {', '.join(Kind)}")]
    return name_problems(Kind(kind), name)


def _body_problems(body: Any) -> list[ContentProblem]:
    if not isinstance(body, dict):
        return [ContentProblem("body", "needs a JSON object with schema, replaces and content")]
    problems = [_unknown_field(str(key), BODY_FIELDS) for key in body if key not in BODY_FIELDS]
    schema = body.get("schema")
    if not isinstance(schema, str) or schema not in list(Schema):
        problems.append(
            ContentProblem("schema", f"{_abbreviated(schema)} is not one of {', '.join(Schema)}")
        )
    replaces = body.get("replaces")
    if type(replaces) is not int or not 0 <= replaces <= MAX_VERSION:
        problems.append(
            ContentProblem("replaces", "needs the version number to replace, 0 for a new record")
        )
    if not isinstance(body.get("content"), dict):
        problems.append(ContentProblem("content", "needs a JSON object"))
    return problems


def _content_problem(model: type[Content], error: dict[str, Any]) -> ContentProblem:
    field = ".".join(str(part) for part in error["loc"]) or "content"
    if error["type"] == "extra_forbidden":
        return _unknown_field(field, tuple(model.model_fields))
    if error["type"] == "value_error":
        return ContentProblem(field, error["msg"].removeprefix("Value error, "))
    return ContentProblem(field, f"{_abbreviated(error['input'])}: {error['msg']}")


def _unknown_field(field: str, known: tuple[str, ...]) -> ContentProblem:
    close_names = difflib.get_close_matches(field, known, n=1)
    hint = f"did you mean {close_names[0]}?" if close_names else f"allowed are {', '.join(known)}"
    return ContentProblem(field[:MAX_SHOWN_CHARS], f"is not known; {hint}")


def _abbreviated(value: Any) -> str:
    try:
        text = repr(value)
    except (ValueError, RecursionError):
        return "a value too large to show"
    return text if len(text) <= MAX_SHOWN_CHARS else f"{text[:MAX_SHOWN_CHARS]}…"
