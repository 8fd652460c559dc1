"""Whether a report of a known incarnation is used, and why not."""

from enum import Enum

from agateferry_jobs.settings import ORDER_DELAY_MS
from agateferry_jobs.workers.clock_bounds import ClockBounds


class ReportVerdict(Enum):
    """What becomes of a report; the value is the reason in logs and metrics."""

    CURRENT = "current"
    """It is the newest one of its incarnation."""
    OVERTAKEN = "overtaken"
    """A later one of the incarnation was recorded before."""
    LATE = "late"
    """It was written long ago, or its clock is not that of the incarnation."""
    AHEAD = "clock ahead"
    """The clock of the incarnation can't have got as far as this."""
    NO_CLOCK = "no clock"
    """It gives no clock, unlike those before it."""
    OTHER_RECORD = "other record"
    """It says what can't change in an incarnation; used if the next one repeats it."""
    UNANSWERED = "unanswered"
    """The worker was asked for its clock, to check the report by it, and has not answered."""


class ReportOrder:
    """Judge the reports of one incarnation by their order and by what is proved of its clock.

    The clock orders them. The number of a report orders only those without a clock, and those that
    come before the worker has answered: one of another writer may have any number.
    """

    def __init__(self) -> None:
        self._last_sequence = -1
        self._last_clock_ms = 0
        """The clock of the newest report; 0 if that gave none, or none was recorded."""

    def judge(
        self, sequence: int, clock_ms: int, bounds: ClockBounds | None, now_ms: int
    ) -> ReportVerdict:
        """Return whether a report that arrives now may be recorded."""
        if bounds is None or not clock_ms:
            return self._judge_number(sequence, clock_ms)
        if bounds.is_ahead(clock_ms, now_ms):
            return ReportVerdict.AHEAD
        if bounds.lateness_ms(clock_ms, now_ms) > ORDER_DELAY_MS:
            return ReportVerdict.LATE
        is_last_possible = not bounds.is_ahead(self._last_clock_ms, now_ms)
        if is_last_possible and (clock_ms, sequence) < (self._last_clock_ms, self._last_sequence):
            return ReportVerdict.OVERTAKEN
        return ReportVerdict.CURRENT

    def record(self, sequence: int, clock_ms: int) -> None:
        """Record that a report is used."""
        self._last_sequence = sequence
        self._last_clock_ms = clock_ms

    def _judge_number(self, sequence: int, clock_ms: int) -> ReportVerdict:
        if not clock_ms and self._last_clock_ms:
            return ReportVerdict.NO_CLOCK
        is_later = sequence >= self._last_sequence
        return ReportVerdict.CURRENT if is_later else ReportVerdict.OVERTAKEN
