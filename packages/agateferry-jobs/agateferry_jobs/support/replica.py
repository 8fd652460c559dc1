"""A replica in memory: what is proposed is applied at once, unless a test says otherwise."""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from agateferry_state.replica.protocols import (
    Applied,
    ProposeError,
    ProposeErrorKind,
    StateMachine,
)


class MemoryReplica:
    """Stand in for one member that leads; `fate` decides about each proposal.

    `fate` returns None for one that is applied and told, or the error to tell; with `UNKNOWN` the
    command is applied all the same.
    """

    def __init__(self, machine: StateMachine) -> None:
        self.is_leader = True
        self.leader: str | None = "here"
        self.term = 1
        self.failure: ProposeError | None = None
        self.fate: Callable[[bytes], ProposeErrorKind | None] = lambda _: None
        self._machine = machine
        self._index = 0
        self._listeners: list[Callable[[bool, int], None]] = []

    def on_leadership(self, listener: Callable[[bool, int], None]) -> None:
        """Keep a listener for `lead`."""
        self._listeners.append(listener)

    def lead(self, leads: bool = True) -> None:
        """Tell the listeners that this member leads, or not."""
        self.is_leader = leads
        self.term += 1
        for listener in self._listeners:
            listener(leads, self.term)

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    async def propose(self, command: bytes) -> Result[Applied, ProposeError]:
        """Apply a command as `fate` says."""
        kind = self.fate(command)
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
