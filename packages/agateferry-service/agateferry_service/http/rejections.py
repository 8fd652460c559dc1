"""The responses of the product's own ports to clients that they reject."""

from starlette.responses import Response

from agateferry_service.http.limits import RejectionReason
from agateferry_service.http.problems import problem

RETRY_AFTER_S = "1"


def make_problem(reason: RejectionReason, detail: str) -> Response:
    """Return problem details; the request has not run, and with `Retry-After` it may be resent."""
    match reason:
        case RejectionReason.BODY_TIMEOUT:
            return problem(408, "slow-body", detail)
        case RejectionReason.HEAD_TOO_LARGE:
            return problem(431, reason.value, detail)
        case _:
            response = problem(503, reason.value, detail)
            response.headers["Retry-After"] = RETRY_AFTER_S
            return response
