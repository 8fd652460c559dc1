"""Exit codes, and failures with advice on what to do next."""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any


class ExitCode(IntEnum):
    """The exit codes of the verbs; their numbers do not change, so that scripts can use them."""

    OK = 0
    REQUEST_FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4
    CONFLICT = 5
    OUTCOME_UNKNOWN = 6
    NOT_FOUND = 7
    CANCELLED = 8
    STILL_RUNNING = 9
    INTERNAL = 70
    INTERRUPTED = 130


MEANINGS = {
    ExitCode.OK: "done; a watched request finished",
    ExitCode.REQUEST_FAILED: "the request ran, or may have run, and failed",
    ExitCode.USAGE: "the command line, a file or a body is not valid; nothing was changed",
    ExitCode.REFUSED: "refused; it was not run",
    ExitCode.UNREACHABLE: "no host answered, or none can serve this now",
    ExitCode.CONFLICT: "another version of the record, or another body of the key, stands",
    ExitCode.OUTCOME_UNKNOWN: "the answer was lost; the same command can be repeated",
    ExitCode.NOT_FOUND: "no such request or record",
    ExitCode.CANCELLED: "the watched request was cancelled",
    ExitCode.STILL_RUNNING: "the time to wait is over; the request goes on",
    ExitCode.INTERNAL: "a fault of agateferry itself",
    ExitCode.INTERRUPTED: "interrupted from the keyboard; nothing was cancelled",
}


@dataclass(frozen=True, slots=True)
class Failure:
    """Why a verb failed, and what to do next.

    `reason` and `details` come from the problem details of the host's answer, if there was one.
    """

    code: ExitCode
    text: str
    advice: str = ""
    reason: str = ""
    details: dict[str, Any] = field(default_factory=dict)
