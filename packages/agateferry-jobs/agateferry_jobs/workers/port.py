"""What can be asked of one worker, and what may come back; how it is said is the platform's."""

from dataclasses import dataclass
from typing import ClassVar, Protocol

from agateferry_jobs.planning.fleet import RunKey


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start a run; `deadline_ms` is on the worker's clock and extends its lease."""

    key: RunKey
    run: int
    payload: str
    deadline_ms: int
    token: int
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop a run, and refuse it where it has not begun."""

    key: RunKey
    run: int
    token: int


@dataclass(frozen=True, slots=True)
class PollOrder:
    """Extend the lease of all that runs, forget ends up to `cursor` and list the rest.

    `deadline_ms` is on the worker's clock; None extends nothing. The answer may take `wait_ms`.
    """

    deadline_ms: int | None
    token: int
    cursor: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class RunningRun:
    """One run that a worker lists as running; `percent` is how far it got."""

    key: RunKey
    run: int
    checkpoint: str
    percent: float


@dataclass(frozen=True, slots=True)
class FinishedRun:
    """One end that a worker lists; `number` counts the ends of its life."""

    number: int
    key: RunKey
    run: int
    outcome: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Confirmed:
    """An order was carried out."""

    label: ClassVar[str] = "Confirmed"

    clock_ms: int


@dataclass(frozen=True, slots=True)
class RunLists:
    """The lists of a worker; `born` is None where the worker did not say it."""

    label: ClassVar[str] = "Listed"

    clock_ms: int
    born: int | None
    running: tuple[RunningRun, ...]
    finished: tuple[FinishedRun, ...]


@dataclass(frozen=True, slots=True)
class Rejected:
    """An order was refused and did nothing."""

    label: ClassVar[str] = "Rejected"

    reason: str
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class IncarnationMismatch:
    """Another life runs at the address."""

    label: ClassVar[str] = "OtherLife"

    def __str__(self) -> str:
        """Return the text that the log has for this answer."""
        return f"{self.label}()"


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Nothing, or nothing that can be read, came back; the order may still be carried out."""

    label: ClassVar[str] = "NoAnswer"

    detail: str


Answer = Confirmed | Rejected | IncarnationMismatch | NoAnswer


class WorkerPort(Protocol):
    """Carry orders to one life of one worker."""

    async def start(self, order: StartOrder, timeout_ms: int) -> Answer:
        """Order a start."""

    async def stop(self, order: StopOrder, timeout_ms: int) -> Answer:
        """Order a stop."""

    async def poll(
        self, order: PollOrder, timeout_ms: int
    ) -> RunLists | Rejected | IncarnationMismatch | NoAnswer:
        """Extend the lease and ask for the lists."""

    async def close(self) -> None:
        """Close all connections."""
