"""The results that the ledger returns for commands."""

from dataclasses import dataclass
from enum import StrEnum

from agateferry_service.requests.state import Request


class CommandResultKind(StrEnum):
    """What a command did to the ledger."""

    DONE = "done"
    DUPLICATE = "duplicate"
    KEY_REUSED = "key-reused"
    UNKNOWN_REQUEST = "unknown-request"
    STALE = "stale"
    ALREADY_ENDED = "already-ended"
    NOT_PLACED = "not-placed"
    """The zone was evacuated before the command, so the request goes on waiting."""


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The effect of a command, and the request after it if there is one."""

    kind: CommandResultKind
    request: Request | None = None
