"""An in-memory replica that applies proposals at once, unless a test injects an error."""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from agateferry_state.replica.protocols import (
    Applied,
    ProposeError,
    ProposeErrorKind,
    StateMachine,
)
from agateferry_state.replication import LeaderContact


class MemoryReplica:
    """One member of a replicated log; `error_for` decides the outcome of each proposal.

    `error_for` returns None for a command that is applied and answered with its result, or the kind
    of error to return. The command is not applied then, except with `UNKNOWN`.
    """

    def __init__(self, machine: StateMachine) -> None:
        self.is_leader = True
        self.leader: str | None = "here"
        self.term = 1
        self.leader_contact: LeaderContact | None = None
        self.failure: ProposeError | None = None
        self.error_for: Callable[[bytes], ProposeErrorKind | None] = lambda _: None
        self._machine = machine
        self._index = 0
        self._listeners: list[Callable[[bool, int], None]] = []

    def on_leadership(self, listener: Callable[[bool, int], None]) -> None:
        """Register a listener that `lead` calls."""
        self._listeners.append(listener)

    def lead(self, leads: bool = True) -> None:
        """Make this member the leader, or not, in a new term, and call the listeners."""
        self.is_leader = leads
        self.term += 1
        for listener in self._listeners:
            listener(leads, self.term)

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    async def propose(self, command: bytes) -> Result[Applied, ProposeError]:
        """Apply a command or return an error, as `error_for` decides."""
        kind = self.error_for(command)
        if kind is not None and kind is not ProposeErrorKind.UNKNOWN:
            return Error(ProposeError(kind, self.leader))
        self._index += 1
        result: Any = self._machine.apply(self._index, command)
        if kind is not None:
            return Error(ProposeError(kind, self.leader))
        return Ok(Applied(self._index, result))

    async def read_barrier(self) -> Result[int, ProposeError]:
        """Return at once."""
        return Ok(self._index)
