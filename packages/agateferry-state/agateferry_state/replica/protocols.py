"""The interfaces between replicated state and the packages that use it.

A `StateMachine` is a deterministic function of the commands applied to it. A `Replica` commits
commands to the replicated log and applies them in the same order on every member. Neither depends
on a disk or a network, so that tests can drive a state machine with a replica kept in memory.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from expression import Result

from agateferry_state.replication.leader_contact import LeaderContact


class ProposeErrorKind(StrEnum):
    """Why a command was not applied here."""

    NOT_LEADER = "not-leader"
    """The command will not be applied; retry at the leader."""

    UNKNOWN = "unknown"
    """The command was appended but its outcome is unknown; it may still be applied."""

    STORAGE_FAILED = "storage-failed"
    """A write or sync of the data folder failed; this replica takes no commands until a restart."""

    STOPPED = "stopped"
    """This replica is not running, or an error stopped it; the command was not appended."""


@dataclass(frozen=True, slots=True)
class ProposeError:
    """Why a proposal has no result; `leader` is the host to ask instead, or None if unknown."""

    kind: ProposeErrorKind
    leader: str | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Applied:
    """The log index of an applied command and what the state machine returned for it."""

    index: int
    result: Any


@dataclass(frozen=True, slots=True)
class NotApplied:
    """The result of a command that met an unexpected error; a part may have been changed.

    A state machine returns it instead of raising: each replica meets the same error at the same
    index, and again at each restart, so it would end them all for good.
    """

    detail: str


class StateMachine(Protocol):
    """A deterministic state machine that committed commands are applied to."""

    def apply(self, index: int, command: bytes) -> Any:
        """Apply one command and return its result; may use only the arguments and the state."""

    def snapshot(self) -> bytes:
        """Return the whole state, encoded for `restore`."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state with a snapshot."""


class Replica(Protocol):
    """One member of a replicated state machine, as the packages that use it see it."""

    @property
    def is_leader(self) -> bool:
        """Return whether this member leads and its lease is valid now."""

    @property
    def leader(self) -> str | None:
        """Return the host of the leader that this member knows of, or None."""

    @property
    def term(self) -> int:
        """Return the newest term that this member has seen; it never decreases."""

    @property
    def leader_contact(self) -> LeaderContact | None:
        """Return the contact to the last other leader; None if none was heard since the start."""

    def on_leadership(self, listener: Callable[[bool, int], None]) -> None:
        """Call `listener(leads, term)` whenever this member starts or stops leading."""

    @property
    def failure(self) -> ProposeError | None:
        """Return why this member is out of service, or None while it is in service."""

    async def start(self) -> None:
        """Recover the stored state and join the group."""

    async def stop(self) -> None:
        """Transfer leadership if possible, finish pending proposals and close the files."""

    async def propose(self, command: bytes) -> Result[Applied, ProposeError]:
        """Commit and apply a command; return the state machine's result."""

    async def read_barrier(self) -> Result[int, ProposeError]:
        """Wait until the local state includes every command committed before the call.

        The value is the log index up to which the local state has been applied.
        """
