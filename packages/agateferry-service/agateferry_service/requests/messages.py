"""What the ledger answers to a command."""

from dataclasses import dataclass
from enum import StrEnum

from agateferry_service.requests.state import Request


class CommandResultKind(StrEnum):
    """Say what a command did to the ledger."""

    DONE = "done"
    DUPLICATE = "duplicate"
    KEY_REUSED = "key-reused"
    UNKNOWN_REQUEST = "unknown-request"
    STALE = "stale"
    ALREADY_ENDED = "already-ended"


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The effect of one command and the request as it stands after it, where there is one."""

    kind: CommandResultKind
    request: Request | None = None
