"""Convert problem details (RFC 9457) to failures with advice on what to do next."""

from typing import Any

from agateferry_cli.client.failures import ExitCode, Failure

EXIT_CODES_BY_REASON = {
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

EXIT_CODES_BY_STATUS = {
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
    "infeasible": "Request fewer resources, or a shape that the zone's workers have.",
    "key-reused": "Use a new key for a new request, or the same body as before with this key.",
    "version-conflict": "Read the current version, merge, and put it with --replaces VERSION.",
    "outcome-unknown": "Repeat the same command with the same key.",
    "unknown-request": "Check the id; a request is known to all hosts of its zone.",
    "forgotten": "The request ended, and the time for which its answer is kept is over.",
    "unknown-record": "List the records with: agateferry records list KIND",
    "no-leader": "The zone is electing a leader; try again in a moment.",
    "zone-unreachable": "This host cannot reach the zone of the request; call a host there.",
    "stopping": "Call another host.",
    "not-leader": "Name the leader, or all hosts of the zone, in --operators.",
    "no-voter": "Call a host whose settings have records_voter = true.",
    "unknown-zone": "The detail names the zones of the settings.",
    "zone-evacuated": "See since when with: agateferry evacuations",
    "unsafe": "See the members and the ends of the logs with: agateferry cell status",
}


def failure_from_problem(status: int, body: Any, retry_after: str = "") -> Failure:
    """Return the failure for the status, body and `Retry-After` header of a host's reply."""
    problem = body if isinstance(body, dict) else {}
    reason = str(problem.get("reason", ""))
    code = EXIT_CODES_BY_REASON.get(reason) or EXIT_CODES_BY_STATUS.get(status)
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
