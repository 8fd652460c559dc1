"""A run that the ledger places on a worker, as the session with that worker knows it."""

from dataclasses import dataclass
from enum import Enum, auto

from agateferry_jobs.ledger import Run

NO_PROGRESS_TIMEOUT_MS = 4_000
"""A run without progress for this long counts as hung; a slow one makes some in less time."""


class Phase(Enum):
    """What the session knows of a run's start."""

    ORDERED = auto()
    CONFIRMED = auto()
    UNCERTAIN = auto()


@dataclass(slots=True)
class TrackedRun:
    """A run that the ledger places on this worker."""

    run: Run
    phase: Phase
    phase_since_poll: int
    """The number of the last poll sent before the phase was reached."""
    is_stopping: bool = False
    stop_sent_ms: int | None = None
    percent: float = -1.0
    last_progress_ms: int = 0
    checkpoint: str = ""
    is_adopted: bool = False
    """Whether an earlier leader ordered the start, so that it had probably begun."""
    is_proven: bool = False
    """Whether this incarnation is known to have begun it.

    A worker that has started again answers orders for its earlier incarnation, so a confirmed start
    alone doesn't tell on which of them the run began.
    """

    has_open_order: bool = False
    """Whether a start order may still be carried out: it had no answer, or its leader is unknown.

    The network may hold an order up for longer than its worker takes to start again.
    """

    @property
    def is_lost_with_incarnation(self) -> bool:
        """Return whether the run has ended with its incarnation, and can't begin on the next."""
        return self.is_proven and not self.has_open_order

    @property
    def may_not_have_begun(self) -> bool:
        """Return whether it is open if the run has begun."""
        return self.phase is not Phase.CONFIRMED and not self.is_adopted

    def is_hung(self, now_ms: int) -> bool:
        """Return whether the run works but has made no progress for too long."""
        is_at_work = self.phase is Phase.CONFIRMED and not self.is_stopping
        silent_ms = now_ms - self.last_progress_ms
        return is_at_work and self.percent < 100 and silent_ms > NO_PROGRESS_TIMEOUT_MS

    def record_progress(self, percent: float, now_ms: int) -> None:
        """Record the progress that the worker listed, from 0 to 100."""
        if percent != self.percent:
            self.percent = percent
            self.last_progress_ms = now_ms
