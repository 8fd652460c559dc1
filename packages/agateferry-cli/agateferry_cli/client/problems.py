"""Turn problem details (RFC 9457) into failures that say what to do next."""

from typing import Any

from agateferry_cli.client.failures import ExitCode, Failure

CODES_BY_REASON = {
    "unknown-team": ExitCode.REFUSED,
    "unknown-job": ExitCode.REFUSED,
    "unknown-zone": ExitCode.REFUSED,
    "infeasible": ExitCode.REFUSED,
    "key-reused": ExitCode.CONFLICT,
    "version-conflict": ExitCode.CONFLICT,
    "outcome-unknown": ExitCode.OUTCOME_UNKNOWN,
    "not-ready": ExitCode.REFUSED,
    "not-needed": ExitCode.REFUSED,
    "busy": ExitCode.REFUSED,
    "unsafe": ExitCode.REFUSED,
}

CODES_BY_STATUS = {
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    410: ExitCode.NOT_FOUND,
    429: ExitCode.REFUSED,
    403: ExitCode.REFUSED,
    502: ExitCode.UNREACHABLE,
    503: ExitCode.UNREACHABLE,
    504: ExitCode.UNREACHABLE,
}

ADVICE = {
    "unknown-team": "List the teams with: agateferry records list team",
    "unknown-job": "List the jobs with: agateferry records list job",
    "infeasible": "Ask for less, or for a shape that the zone's workers have.",
    "key-reused": "Use a new key for a new body, or the first body for this key.",
    "version-conflict": "Read what stands, merge, and put again with its version in --replaces.",
    "outcome-unknown": "Repeat the same command with the same key.",
    "unknown-request": "Check the id; a request is known to all hosts of its zone.",
    "forgotten": "The answer was kept for the stated time only.",
    "unknown-record": "List what there is with: agateferry records list KIND",
    "no-leader": "The zone elects a leader; try again in a moment.",
    "zone-unreachable": "The zone of the request is cut off from this host; ask a host there.",
    "stopping": "Ask another host.",
    "not-leader": "Name the host that leads, or all hosts of the zone, in --operators.",
    "no-voter": "Ask a host whose settings have records_voter = true.",
    "unsafe": "See the members and the ends of the logs with: agateferry cell status",
}


def failure_of(status: int, body: Any, retry_after: str = "") -> Failure:
    """Return the failure that a problem's status, body and `Retry-After` header stand for."""
    problem = body if isinstance(body, dict) else {}
    reason = str(problem.get("reason", ""))
    code = CODES_BY_REASON.get(reason) or CODES_BY_STATUS.get(status)
    text = str(problem.get("detail") or problem.get("title") or f"the host answered {status}")
    return Failure(
        code or (ExitCode.USAGE if status < 500 else ExitCode.INTERNAL),
        f"{reason}: {text}" if reason else text,
        _advice(reason, retry_after),
        reason,
        problem,
    )


def _advice(reason: str, retry_after: str) -> str:
    parts = [ADVICE[reason]] if reason in ADVICE else []
    if retry_after:
        parts.append(f"Try again after {retry_after} s.")
    return " ".join(parts)
