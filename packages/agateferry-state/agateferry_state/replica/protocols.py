"""What the slices above ask of replicated state, and what it asks of them.

A `StateMachine` is a deterministic function of the commands applied to it. A `Replica` gets
commands agreed upon by a quorum, stored, and applied in one order on every member. Neither names
a disk or a network, so that a test can put a machine behind a replica that lives in memory.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from expression import Result


class ProposeErrorKind(StrEnum):
    """Say what became of a command that was not applied here."""

    NOT_LEADER = "not-leader"
    """The command was not appended; ask the leader."""

    UNKNOWN = "unknown"
    """The command was appended but its fate was not learned; it may still be applied."""

    STORAGE_FAILED = "storage-failed"
    """The disk refused the command; this host no longer counts it as written."""

    STOPPED = "stopped"
    """This replica is shutting down; the command was not appended."""


@dataclass(frozen=True, slots=True)
class ProposeError:
    """Why a proposal has no outcome; `leader` is the member to ask instead, where known."""

    kind: ProposeErrorKind
    leader: str | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Applied:
    """The log index of an applied command and what the state machine returned for it."""

    index: int
    result: Any


class StateMachine(Protocol):
    """A deterministic machine that is driven by agreed commands."""

    def apply(self, index: int, command: bytes) -> Any:
        """Apply one command and return its result; must depend on nothing but the arguments and state."""

    def snapshot(self) -> bytes:
        """Return the whole state in a form that `restore` takes."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""


class Replica(Protocol):
    """One member of a replicated state machine, seen from the slices above."""

    @property
    def is_leader(self) -> bool:
        """Tell whether this member leads under a lease that is valid now."""

    @property
    def leader(self) -> str | None:
        """Return the member that leads, as far as this one knows."""

    @property
    def term(self) -> int:
        """Return the term of the present leader; it only goes up."""

    def on_leadership(self, listener: Callable[[bool, int], None]) -> None:
        """Have `listener(leads, term)` called when this member begins or ceases to lead."""

    @property
    def failure(self) -> ProposeError | None:
        """Return why this member takes no part, or None while it does."""

    async def start(self) -> None:
        """Recover what the disk holds and begin to take part."""

    async def stop(self) -> None:
        """Hand leadership on where possible, finish what is under way and close the files."""

    async def propose(self, command: bytes) -> Result[Applied, ProposeError]:
        """Commit and apply a command; return the state machine's result."""

    async def read_barrier(self) -> Result[int, ProposeError]:
        """Return once the local state holds all that was agreed before the call.

        The value is the log index that the local state has reached.
        """
