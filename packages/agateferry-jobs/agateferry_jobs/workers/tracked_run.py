"""A run that the ledger places on a worker, as the session with that worker knows it."""

from dataclasses import dataclass
from enum import Enum, auto

from agateferry_jobs.ledger import Run

NO_PROGRESS_TIMEOUT_MS = 4_000
"""A run without progress for this long counts as hung, if its progress is expected to show sooner.

A slow one shows some in less time.
"""
EXPECTED_STEPS = 5
"""A run is hung after the time in which so many steps of its progress are expected.

A worker may be slow by this factor, or far from the run's data, and estimates are rough.
"""
WHOLE_PERCENT = 1.0


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
    stop_ordered_ms: int | None = None
    """When the first stop was ordered; None while none was."""
    stop_sent_ms: int | None = None
    percent: float = -1.0
    last_progress_ms: int = 0
    smallest_step: float = WHOLE_PERCENT
    """The smallest change of the progress that the worker has shown, in percent."""
    was_hung: bool = False
    """Whether the run is being stopped because it counted as hung."""
    is_left_at_work: bool = False
    """Whether it counts as hung and is not stopped, since earlier runs of the subtask were."""
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
    def is_stopping(self) -> bool:
        """Return whether the run has been ordered to stop."""
        return self.stop_ordered_ms is not None

    @property
    def is_lost_with_incarnation(self) -> bool:
        """Return whether the run has ended with its incarnation, and can't begin on the next."""
        return self.is_proven and not self.has_open_order

    @property
    def may_not_have_begun(self) -> bool:
        """Return whether it is open if the run has begun."""
        return self.phase is not Phase.CONFIRMED and not self.is_adopted

    def is_hung(self, now_ms: int, expected_ms: float = 0.0, hung_stops: int = 0) -> bool:
        """Return whether the run works but has made no progress for too long.

        `expected_ms` is its expected duration. After `hung_stops` runs of the subtask counted as
        hung, the limit grows, since the estimate may be wrong.
        """
        is_at_work = self.phase is Phase.CONFIRMED and not self.is_stopping
        silent_ms = now_ms - self.last_progress_ms
        timeout_ms = self.progress_timeout_ms(expected_ms, hung_stops)
        return is_at_work and self.percent < 100 and silent_ms > timeout_ms

    def progress_timeout_ms(self, expected_ms: float, hung_stops: int) -> float:
        """Return after how long without progress the run counts as hung.

        A run that is expected to take 1,000 s and reports whole percents shows one every 10 s, so
        that is after 50 s.
        """
        steps_ms = EXPECTED_STEPS * expected_ms * self.smallest_step / 100
        doublings = max(0, hung_stops - 1)
        return max(NO_PROGRESS_TIMEOUT_MS, steps_ms) * 2.0**doublings

    def record_progress(self, percent: float, now_ms: int) -> None:
        """Record the progress that the worker listed, from 0 to 100."""
        if 0 <= self.percent < percent:
            self.smallest_step = min(self.smallest_step, percent - self.percent)
        if percent != self.percent:
            self.percent = percent
            self.last_progress_ms = now_ms
