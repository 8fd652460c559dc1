"""Error responses in the form of problem details (RFC 9457)."""

import json
from http import HTTPStatus
from typing import Any

from starlette.responses import JSONResponse, Response

from agateferry_service.cell.refusals import RefusalReason
from agateferry_service.rpc import cell_pb2 as pb

CONTENT_TYPE = "application/problem+json"
NOT_RUN = "not-run"
MAY_HAVE_RUN = "may-have-run"

STATUS_OF_REASON = {
    RefusalReason.UNKNOWN_TEAM: 403,
    RefusalReason.UNKNOWN_JOB: 404,
    RefusalReason.UNKNOWN_ZONE: 404,
    RefusalReason.UNKNOWN_REQUEST: 404,
    RefusalReason.UNKNOWN_RECORD: 404,
    RefusalReason.KEY_REUSED: 409,
    RefusalReason.VERSION_CONFLICT: 409,
    RefusalReason.WRONG_ZONE: 421,
    RefusalReason.INVALID: 422,
    RefusalReason.KEY_REQUIRED: 422,
    "infeasible": 422,
    "fails-everywhere": 422,
    "deadline-unreachable": 422,
    RefusalReason.PAYLOADS_FULL: 429,
    "team-queue-full": 429,
    "queue-full": 429,
}


def problem(
    status: int, reason: str, detail: str, run: str | None = NOT_RUN, **members: Any
) -> Response:
    """Return an error response; `run` says whether the request ran, or is None if there was none.

    For example `problem(404, "unknown-job", "no job record is named x")`.
    """
    body: dict[str, Any] = {
        "type": "about:blank",
        "title": HTTPStatus(status).phrase,
        "status": status,
        "reason": reason,
        "detail": detail,
    }
    if run is not None:
        body["run"] = run
    body.update(members)
    return JSONResponse(body, status_code=status, media_type=CONTENT_TYPE)


def refusal_response(refusal: pb.Refusal) -> Response:
    """Return the error response of a refusal, with `Retry-After` if a retry can succeed."""
    status = STATUS_OF_REASON.get(refusal.reason, 503)
    outcome_unknown = refusal.reason == RefusalReason.OUTCOME_UNKNOWN
    members: dict[str, Any] = {}
    if refusal.current:
        members["current"] = json.loads(refusal.current)
    run = MAY_HAVE_RUN if outcome_unknown else NOT_RUN
    resp = problem(status, refusal.reason, refusal.detail, run, **members)
    if refusal.retry_after_ms:
        resp.headers["Retry-After"] = str(retry_after_s(refusal.retry_after_ms))
    return resp


def retry_after_s(retry_after_ms: int) -> int:
    """Return the whole seconds of `Retry-After`, rounded up and at least 1."""
    return max(1, -(-retry_after_ms // 1000))
