"""A run that the ledger places on a worker, as the session with that worker knows it."""

from dataclasses import dataclass
from enum import Enum, auto

from agateferry_jobs.ledger import Run

MIN_PACE_MS = 200
"""The least time between two reports of progress from which a pace is computed."""


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
    first_percent: float = -1.0
    first_progress_ms: int = 0
    checkpoint: str = ""

    def record_progress(self, percent: float, now_ms: int) -> None:
        """Record the progress that the worker listed, from 0 to 100."""
        if percent == self.percent:
            return
        if self.first_percent < 0:
            self.first_percent, self.first_progress_ms = percent, now_ms
        self.percent = percent
        self.last_progress_ms = now_ms

    def remaining_ms(self, now_ms: int) -> float | None:
        """Return in how many ms the run ends at its pace so far; None while that is not known."""
        gained = self.percent - self.first_percent
        elapsed_ms = self.last_progress_ms - self.first_progress_ms
        if gained <= 0 or elapsed_ms < MIN_PACE_MS:
            return None
        remaining_ms = (100 - self.percent) * elapsed_ms / gained
        return max(0.0, remaining_ms - (now_ms - self.last_progress_ms))
