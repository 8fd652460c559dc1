"""Reading of HTTP request bodies and headers, with limits on size and time."""

import asyncio
import json
from typing import TypeVar

from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response

from agateferry_core.repeated_fields import find_repeated_field
from agateferry_service.http.collecting import collect_body
from agateferry_service.http.limits import RejectionReason
from agateferry_service.http.memory import memory_of
from agateferry_service.http.problems import problem
from agateferry_service.http.rejections import make_problem

ModelT = TypeVar("ModelT", bound=BaseModel)
MAX_SHOWN_ERRORS = 3
PARSED_COPIES = 3
"""A body is parsed, brought to its canonical form, and sent on, while its bytes are held."""


async def read_body(req: Request, max_bytes: int, timeout_ms: int) -> Result[bytes, Response]:
    """Read a body of at most `max_bytes` within `timeout_ms`, or return the error response."""
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            return await _collect(req, max_bytes)
    except TimeoutError:
        return Error(problem(408, "slow-body", f"the body was not received within {timeout_ms} ms"))
    except ClientDisconnect:
        return Error(
            problem(400, "cut-body", "the connection was closed before the end of the body")
        )


async def read_model(
    req: Request, model: type[ModelT], max_bytes: int, timeout_ms: int
) -> Result[tuple[ModelT, bytes], Response]:
    """Read a JSON body into a model; return the model and the raw bytes, or the error response."""
    content_type = req.headers.get("content-type", "application/json")
    if not content_type.startswith("application/json"):
        return Error(problem(415, "not-json", f"send application/json, not {content_type}"))
    body = await read_body(req, max_bytes, timeout_ms)
    return body.bind(lambda data: _parse(model, data).map(lambda parsed: (parsed, data)))


async def read_optional_model(
    req: Request, model: type[ModelT], max_bytes: int, timeout_ms: int
) -> Result[ModelT, Response]:
    """Read a JSON body into a model, or return its defaults if there is none."""
    body = await read_body(req, max_bytes, timeout_ms)
    return body.bind(lambda data: _parse(model, data or b"{}"))


def wait_ms(req: Request, max_wait_ms: int) -> int:
    """Return the milliseconds of a `Prefer: wait=S` header (RFC 7240), at most `max_wait_ms`."""
    for header in req.headers.getlist("prefer"):
        for preference in header.split(","):
            name, _, value = preference.strip().partition("=")
            if name.lower() == "wait":
                return min(max_wait_ms, _seconds_to_ms(value))
    return 0


def canonical_json(data: bytes) -> bytes:
    """Return the JSON in canonical form, independent of white space and the order of keys."""
    return json.dumps(json.loads(data), sort_keys=True, separators=(",", ":")).encode()


async def _collect(req: Request, max_bytes: int) -> Result[bytes, Response]:
    data = await collect_body(req, max_bytes)
    if data is None:
        return Error(problem(413, "body-too-large", f"the body is limited to {max_bytes} bytes"))
    if not memory_of(req.scope).grow(PARSED_COPIES * len(data)):
        return Error(make_problem(RejectionReason.MEMORY_FULL, "too many bodies are being handled"))
    return Ok(data)


def _parse(model: type[ModelT], data: bytes) -> Result[ModelT, Response]:
    try:
        parsed = model.model_validate_json(data)
    except ValidationError as exc:
        return Error(_invalid(exc))
    repeated = find_repeated_field(data)
    return Error(problem(400, "broken-json", repeated)) if repeated else Ok(parsed)


def _invalid(exc: ValidationError) -> Response:
    errors = exc.errors(include_url=False, include_context=False, include_input=False)
    shown = [
        f"{'.'.join(str(part) for part in error['loc']) or 'body'}: {error['msg']}"
        for error in errors[:MAX_SHOWN_ERRORS]
    ]
    is_broken_json = any(error["type"] == "json_invalid" for error in errors)
    status, reason = (400, "broken-json") if is_broken_json else (422, "invalid")
    return problem(status, reason, "; ".join(shown))


def _seconds_to_ms(text: str) -> int:
    try:
        return max(0, int(float(text) * 1000))
    except (ValueError, OverflowError):
        return 0
