"""Decide which reports of known incarnations are used, and ask the worker where one is in doubt.

A report may have been held up on its way or be of another writer, and so may the one by which a
later report looks wrong. What the worker answers settles it: an answer proves its clock, and the
clock proves when a report was written. So no report, whatever it says, keeps later ones of its
worker from being used for longer than it takes the worker to answer.
"""

from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.cell.ignored_reports import IgnoredReports
from agateferry_jobs.ledger import WorkerIncarnation, WorkerState
from agateferry_jobs.workers.report_verdict import ReportVerdict
from agateferry_jobs.workers.session import WorkerSession

ASK_TIMEOUT_MS = 500
"""How long the answer to a report waits for that of its worker; a worker waits for a second."""


class ReportChecks:
    """Judge the reports of incarnations that have a session."""

    def __init__(self) -> None:
        self._ignored = IgnoredReports(events.REPORT_UNUSED)

    async def is_used(self, session: WorkerSession, heartbeat: messages.Heartbeat) -> bool:
        """Return whether a report is to be recorded; one that isn't is logged and counted."""
        verdict = await self._judge_by_answer(session, heartbeat)
        if verdict is ReportVerdict.CURRENT:
            return True
        self._ignored.record(
            heartbeat.worker,
            verdict.value,
            sequence=heartbeat.sequence,
            clock_ms=heartbeat.clock_ms,
        )
        return False

    async def _judge_by_answer(
        self, session: WorkerSession, heartbeat: messages.Heartbeat
    ) -> ReportVerdict:
        """Judge a report by what is proved of its worker's clock, and if it fails by an answer."""
        sequence, clock_ms = heartbeat.sequence, heartbeat.clock_ms
        verdict = session.judge_report(sequence, clock_ms)
        if verdict is ReportVerdict.CURRENT or session.clock_bounds is None:
            return verdict
        if session.has_answered_lately or not clock_ms:
            return verdict
        if not await session.ask(ASK_TIMEOUT_MS):
            return ReportVerdict.UNANSWERED
        return session.judge_report(sequence, clock_ms)


def contradicts_record(known: WorkerIncarnation, incarnation: WorkerIncarnation) -> bool:
    """Return whether a report of a known incarnation says what can't become of it.

    Its service, zone and machine stay the same, and one that drains is never ready again.
    """
    is_ready_again = is_draining(known) and not is_draining(incarnation)
    return is_ready_again or _place_of(known) != _place_of(incarnation)


def is_draining(incarnation: WorkerIncarnation) -> bool:
    """Return whether an incarnation has said that it leaves."""
    return incarnation.state is WorkerState.DRAINING


def _place_of(incarnation: WorkerIncarnation) -> tuple[str, str, str]:
    return incarnation.service, incarnation.zone, incarnation.machine
