"""Reading bodies and headers of HTTP requests within bounds."""

import asyncio
import json
from typing import TypeVar

from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response

from agateferry_service.http.problems import problem

ModelT = TypeVar("ModelT", bound=BaseModel)
MAX_SHOWN_PROBLEMS = 3


async def read_body(req: Request, max_bytes: int, timeout_ms: int) -> Result[bytes, Response]:
    """Read a whole body of at most `max_bytes` within `timeout_ms`, or say why not."""
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            return await _collect(req, max_bytes)
    except TimeoutError:
        return Error(problem(408, "slow-body", f"the body took longer than {timeout_ms} ms"))
    except ClientDisconnect:
        return Error(problem(400, "cut-body", "the connection ended within the body"))


async def read_model(
    req: Request, model: type[ModelT], max_bytes: int, timeout_ms: int
) -> Result[tuple[ModelT, bytes], Response]:
    """Read a JSON body into a model; return it with the bytes that it was read from."""
    content_type = req.headers.get("content-type", "application/json")
    if not content_type.startswith("application/json"):
        return Error(problem(415, "not-json", f"send application/json, not {content_type}"))
    body = await read_body(req, max_bytes, timeout_ms)
    if body.is_error():
        return Error(body.error)
    try:
        return Ok((model.model_validate_json(body.ok), body.ok))
    except ValidationError as exc:
        return Error(_invalid(exc))


def wait_ms(req: Request, max_wait_ms: int) -> int:
    """Return the milliseconds of a `Prefer: wait=S` header (RFC 7240), at most `max_wait_ms`."""
    for header in req.headers.getlist("prefer"):
        for preference in header.split(","):
            name, _, value = preference.strip().partition("=")
            if name.lower() == "wait":
                return min(max_wait_ms, _seconds_to_ms(value))
    return 0


def canonical_json(data: bytes) -> bytes:
    """Return JSON in a form that does not depend on white space or on the order of keys."""
    return json.dumps(json.loads(data), sort_keys=True, separators=(",", ":")).encode()


async def _collect(req: Request, max_bytes: int) -> Result[bytes, Response]:
    data = bytearray()
    async for chunk in req.stream():
        data += chunk
        if len(data) > max_bytes:
            return Error(problem(413, "body-too-large", f"at most {max_bytes} bytes are taken"))
    return Ok(bytes(data))


def _invalid(exc: ValidationError) -> Response:
    faults = exc.errors(include_url=False, include_context=False, include_input=False)
    shown = [
        f"{'.'.join(str(part) for part in fault['loc']) or 'body'}: {fault['msg']}"
        for fault in faults[:MAX_SHOWN_PROBLEMS]
    ]
    broken = any(fault["type"] == "json_invalid" for fault in faults)
    status, reason = (400, "broken-json") if broken else (422, "invalid")
    return problem(status, reason, "; ".join(shown))


def _seconds_to_ms(text: str) -> int:
    try:
        return max(0, int(float(text) * 1000))
    except (ValueError, OverflowError):
        return 0
