"""Checks of puts at the border: names, schema versions and contents.

A put that fails here is refused as a whole and told all of its faults at once.
"""

import difflib
import json
import re
from typing import Any

from expression import Error, Ok, Result
from pydantic import ValidationError

from agateferry_state.records.bounds import Content
from agateferry_state.records.forms import Kind, Record, Schema
from agateferry_state.records.messages import ContentProblem, Invalid, RecordPut
from agateferry_state.records.schemas import MODELS, read

MAX_CONTENT_BYTES = 65_536
MAX_OPERATOR_CHARS = 128
MAX_SHOWN_CHARS = 60
MAX_VERSION = 2**53
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
CONFIG_NAMES = ("scheduling",)
BODY_FIELDS = ("schema", "replaces", "content")


def parse_put(kind: str, name: str, body: Any, operator: str = "") -> Result[RecordPut, Invalid]:
    """Return the put that a path and a parsed JSON body state, or all that is wrong with it.

    For example `parse_put("job", "barn-count", {"schema": "v2", "replaces": 0, "content": {}})`.
    The content is checked too, as far as it can be without the record that it replaces.
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
    kind: Kind, schema: Schema, content: dict[str, Any], standing: Record | None
) -> Result[Record, Invalid]:
    """Validate a content and return its internal form on top of the standing record."""
    try:
        size = len(canonical(content))
    except (ValueError, TypeError, RecursionError):
        return _invalid("content", "is not plain JSON; leave out NaN, infinities and deep nesting")
    if size > MAX_CONTENT_BYTES:
        return _invalid("content", f"takes {size} bytes; at most {MAX_CONTENT_BYTES} are allowed")
    model = MODELS[kind, schema]
    try:
        valid = model.model_validate(content)
    except ValidationError as exc:
        faults = exc.errors(include_url=False, include_context=False)
        return Error(Invalid(tuple(_problem(model, dict(fault)) for fault in faults)))
    return Ok(read(valid, standing))


def canonical(content: Any) -> bytes:
    """Return JSON whose bytes do not depend on the order of keys or on white space."""
    text = json.dumps(content, sort_keys=True, separators=(",", ":"), allow_nan=False)
    return text.encode()


def name_problems(kind: Kind, name: str) -> list[ContentProblem]:
    """Return what is wrong with the name of a record of a kind."""
    if kind is Kind.CONFIG and name not in CONFIG_NAMES:
        return [ContentProblem("name", f"must be {' or '.join(CONFIG_NAMES)} for kind config")]
    if NAME_PATTERN.fullmatch(name) is None:
        allowed = "needs 1 to 63 small letters, digits, dots, hyphens and underscores"
        return [ContentProblem("name", f"{allowed}, and begins with a letter or digit")]
    return []


def _invalid(field: str, detail: str) -> Result[Record, Invalid]:
    return Error(Invalid((ContentProblem(field, detail),)))


def _name_problems(kind: str, name: str) -> list[ContentProblem]:
    if kind not in list(Kind):
        return [ContentProblem("kind", f"{_shown(kind)} is not one of {', '.join(Kind)}")]
    return name_problems(Kind(kind), name)


def _body_problems(body: Any) -> list[ContentProblem]:
    if not isinstance(body, dict):
        return [ContentProblem("body", "needs a JSON object with schema, replaces and content")]
    problems = [_unknown(str(key), BODY_FIELDS) for key in body if key not in BODY_FIELDS]
    schema = body.get("schema")
    if not isinstance(schema, str) or schema not in list(Schema):
        problems.append(
            ContentProblem("schema", f"{_shown(schema)} is not one of {', '.join(Schema)}")
        )
    replaces = body.get("replaces")
    if type(replaces) is not int or not 0 <= replaces <= MAX_VERSION:
        problems.append(
            ContentProblem("replaces", "needs the version number to replace, 0 for a new record")
        )
    if not isinstance(body.get("content"), dict):
        problems.append(ContentProblem("content", "needs a JSON object"))
    return problems


def _problem(model: type[Content], fault: dict[str, Any]) -> ContentProblem:
    field = ".".join(str(part) for part in fault["loc"]) or "content"
    if fault["type"] == "extra_forbidden":
        return _unknown(field, tuple(model.model_fields))
    if fault["type"] == "value_error":
        return ContentProblem(field, fault["msg"].removeprefix("Value error, "))
    return ContentProblem(field, f"{_shown(fault['input'])}: {fault['msg']}")


def _unknown(field: str, known: tuple[str, ...]) -> ContentProblem:
    near = difflib.get_close_matches(field, known, n=1)
    hint = f"did you mean {near[0]}?" if near else f"allowed are {', '.join(known)}"
    return ContentProblem(field[:MAX_SHOWN_CHARS], f"is not known; {hint}")


def _shown(value: Any) -> str:
    try:
        text = repr(value)
    except (ValueError, RecursionError):
        return "a value too large to show"
    return text if len(text) <= MAX_SHOWN_CHARS else f"{text[:MAX_SHOWN_CHARS]}…"
