"""The orders that a worker takes and its answers; the platform package implements the protocol."""

from dataclasses import dataclass
from typing import ClassVar, Protocol

from agateferry_jobs.ledger.state import RunKey


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start a run.

    `deadline_ms` is on the worker's clock and extends its lease. A worker refuses orders with a
    lower fencing `token` than it has seen.
    """

    key: RunKey
    run: int
    payload: str
    deadline_ms: int
    token: int
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop a run; a worker where it has not begun refuses to start it from then on."""

    key: RunKey
    run: int
    token: int


@dataclass(frozen=True, slots=True)
class PollOrder:
    """Extend the lease of all running runs, drop ends up to number `cursor` and list the rest.

    `deadline_ms` is on the worker's clock; None extends nothing. The worker may wait for up to
    `wait_ms` for a run to end before it answers.
    """

    deadline_ms: int | None
    token: int
    cursor: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class RunningRun:
    """A run that a worker lists as running; `percent` is its progress, 0 to 100."""

    key: RunKey
    run: int
    checkpoint: str
    percent: float


@dataclass(frozen=True, slots=True)
class FinishedRun:
    """A run that a worker lists as ended; `number` counts the ends of its incarnation."""

    number: int
    key: RunKey
    run: int
    outcome: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The order was carried out; `clock_ms` reads the worker's clock."""

    label: ClassVar[str] = "Confirmed"

    clock_ms: int


@dataclass(frozen=True, slots=True)
class RunLists:
    """The running and ended runs of a worker, in answer to a poll.

    `born` names the worker's incarnation, None where the answer has none. Where `is_complete` is
    False, a row that could not be read names a subtask, so its run may go on without being listed.
    """

    label: ClassVar[str] = "Listed"

    clock_ms: int
    born: int | None
    running: tuple[RunningRun, ...]
    finished: tuple[FinishedRun, ...]
    is_complete: bool = True


@dataclass(frozen=True, slots=True)
class Rejected:
    """The order was refused and had no effect."""

    label: ClassVar[str] = "Rejected"

    reason: str
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class IncarnationMismatch:
    """Another incarnation of the worker runs at the address."""

    label: ClassVar[str] = "OtherLife"

    def __str__(self) -> str:
        """Return the text that log events contain for this answer."""
        return f"{self.label}()"


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No readable answer came; the order may have been carried out, or may be later.

    With `is_own_delay` this process did not run when the time was over, so that an answer may have
    arrived in time: that tells nothing about the worker.
    """

    label: ClassVar[str] = "NoAnswer"

    detail: str
    is_own_delay: bool = False


Answer = Confirmed | Rejected | IncarnationMismatch | NoAnswer


class WorkerPort(Protocol):
    """Send orders to one incarnation of one worker."""

    async def start(self, order: StartOrder, timeout_ms: int) -> Answer:
        """Send a start order."""

    async def stop(self, order: StopOrder, timeout_ms: int) -> Answer:
        """Send a stop order."""

    async def poll(
        self, order: PollOrder, timeout_ms: int
    ) -> RunLists | Rejected | IncarnationMismatch | NoAnswer:
        """Extend the lease and return the worker's lists of runs."""

    async def release(self) -> None:
        """Close all connections if no order is in flight; the next order opens new ones."""

    async def close(self) -> None:
        """Close all connections."""
