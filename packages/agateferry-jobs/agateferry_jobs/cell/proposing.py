"""Proposing commands to the replicated log."""

from typing import Any

from expression import Error, Ok, Result

from agateferry_core.logs import EventLogger
from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.ledger import commands
from agateferry_state.replica.protocols import (
    Applied,
    NotApplied,
    ProposeError,
    ProposeErrorKind,
    Replica,
)


class Proposer:
    """Propose commands and log those that were not committed or whose outcome is unknown."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._log = EventLogger()

    async def propose(self, command: commands.Command) -> Result[Any, ProposeError]:
        """Return the result of a command once it is committed and applied on this host."""
        match await self._replica.propose(commands.encode(command)):
            case Result(tag="ok", ok=Applied(result=NotApplied(detail))):
                return self._failed(command, ProposeError(ProposeErrorKind.UNKNOWN, detail=detail))
            case Result(tag="ok", ok=applied):
                return Ok(applied.result)
            case Result(error=error):
                return self._failed(command, error)

    def _failed(self, command: commands.Command, error: ProposeError) -> Result[Any, ProposeError]:
        self._log.warning(
            events.PROPOSAL_FAILED,
            command=type(command).__name__,
            kind=error.kind,
            detail=error.detail,
        )
        return Error(error)


def reply_for_error(error: ProposeError) -> messages.NotLeader | messages.OutcomeUnknown:
    """Return the reply to a call whose command failed with `error`."""
    if error.kind is ProposeErrorKind.UNKNOWN:
        return messages.OutcomeUnknown(error.detail or error.kind)
    return messages.NotLeader(error.leader)
