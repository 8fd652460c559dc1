"""Whether a worker answers, reports and takes starts, as the session with it sees it."""

from agateferry_core.clock import Clock
from agateferry_jobs.backoff import Backoff
from agateferry_jobs.ledger.state import RunKey
from agateferry_jobs.planning.worker_allocation import WorkerHealth
from agateferry_jobs.workers.report_age import ReportAge

START_PAUSE_MS = 250
MAX_START_PAUSE_MS = 2_000
"""The limits of how long a worker that accepts no starts gets no new ones; the pause doubles."""
REPORT_WAIT_MS = 2_000
"""A worker that answers again sends its next heartbeat within this time."""
RETURN_WAIT_MS = 10_000
"""A worker that is silent for longer is not waited for.

A worker that crashed is replaced after about 3 s, and single workers are seldom cut off for longer.
"""
HEARTBEAT_SILENCE_MS = 5000
"""A worker that is silent for three heartbeat intervals gets no new runs."""


class WorkerContact:
    """The contact to one incarnation of a worker since this host leads."""

    def __init__(self, clock: Clock, reports: ReportAge) -> None:
        self.has_answered = False
        """Whether the worker has answered a poll."""
        self.is_failing = False
        """Whether the last poll or order failed."""
        self._clock = clock
        self._reports = reports
        self._starts = Backoff[None](START_PAUSE_MS, MAX_START_PAUSE_MS)
        self._last_contact_ms = clock.now_ms()
        self._failing_since_ms = 0
        self._answering_since_ms = 0
        self._cold_until_ms = 0

    def health(self, is_suspect: bool, unexpected_runs: tuple[RunKey, ...]) -> WorkerHealth:
        """Return the worker's health for the planner.

        A worker that did not accept its last start is as suspect as one on which runs fail: it is
        always free, so it would be chosen again as soon as its pause is over.
        """
        now_ms = self._clock.now_ms()
        silent_ms = now_ms - self._last_contact_ms
        is_silent = silent_ms >= HEARTBEAT_SILENCE_MS
        answers = self.has_answered and not self.is_failing and not is_silent
        has_recent_report = self._reports.is_recent(now_ms)
        has_just_answered = now_ms - self._answering_since_ms <= REPORT_WAIT_MS
        return WorkerHealth(
            answers=answers,
            may_return=silent_ms < RETURN_WAIT_MS,
            accepts_starts=self.accepts_starts,
            has_recent_report=has_recent_report,
            reports_soon=answers and not has_recent_report and has_just_answered,
            is_suspect=is_suspect or self._starts.has_failed(None, now_ms),
            is_cold=now_ms < self._cold_until_ms,
            unexpected_runs=unexpected_runs,
        )

    @property
    def accepts_starts(self) -> bool:
        """Return whether the worker has neither rejected nor left unanswered a start just now."""
        return not self._starts.is_held(None, self._clock.now_ms())

    @property
    def is_known(self) -> bool:
        """Return whether the worker has answered a poll, or failed to."""
        return self.has_answered or self.is_failing

    def failing_for_ms(self) -> int:
        """Return for how long the worker has not answered; 0 if it does."""
        return self._clock.now_ms() - self._failing_since_ms if self.is_failing else 0

    def record_report(self, cold_ms: int = 0) -> None:
        """Record that a heartbeat arrived; it shows the capacity and for how long it stays cold."""
        self._last_contact_ms = self._clock.now_ms()
        self._cold_until_ms = self._last_contact_ms + cold_ms
        self._reports.record(self._last_contact_ms)

    def record_failure(self) -> bool:
        """Record that the worker did not answer; return whether it did before."""
        if self.is_failing:
            return False
        self.is_failing = True
        self._failing_since_ms = self._clock.now_ms()
        self._reports.record_silence()
        return True

    def record_answer(self) -> bool:
        """Record that the worker answered; return whether it had failed to before."""
        self._last_contact_ms = self._clock.now_ms()
        if not self.is_failing:
            return False
        self.is_failing = False
        self._answering_since_ms = self._last_contact_ms
        return True

    def record_first_lists(self) -> bool:
        """Record that the worker's lists of runs are known; return whether they were not before."""
        if self.has_answered:
            return False
        self.has_answered = True
        self._answering_since_ms = self._clock.now_ms()
        return True

    def record_failed_start(self) -> None:
        """Record that the worker rejected a start or did not answer it.

        It gets no new ones for a while.
        """
        self._starts.record_failure(None, self._clock.now_ms())

    def record_start(self) -> None:
        """Record that the worker accepted a start."""
        self._starts.record_success(None)
