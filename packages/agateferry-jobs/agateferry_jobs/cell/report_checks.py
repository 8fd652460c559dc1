"""Decide which reports of known incarnations are used, and ask the worker where one is in doubt.

A report may have been held up on its way or be of another writer, and so may the one by which a
later report looks wrong. What the worker answers settles it: an answer proves its clock, and the
clock proves when a report was written. So no report, whatever it says, keeps later ones of its
worker from being used for longer than it takes the worker to answer and to report twice.
"""

from dataclasses import dataclass
from weakref import WeakKeyDictionary

from agateferry_core.clock import Clock
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.ignored_reports import IgnoredReports
from agateferry_jobs.ledger import Ledger, WorkerIncarnation, WorkerState
from agateferry_jobs.workers.report_verdict import ReportVerdict
from agateferry_jobs.workers.session import WorkerSession

ASK_TIMEOUT_MS = 500
"""How long the answer to a report waits for that of its worker; a worker waits for a second."""
Record = tuple[str, str, str, WorkerState]
"""The service, zone, machine and state that a report gives."""


@dataclass(frozen=True, slots=True)
class Doubt:
    """What a report said against the record, and a clock that its worker reached only later.

    A report with the same `record` and a later clock was written after the first one had come, and
    so after all on which the record can be based.
    """

    record: Record
    clock_ms: int


class ReportChecks:
    """Judge the reports of incarnations that have a session; those not used go to `ignored`."""

    def __init__(self, ledger: Ledger, clock: Clock, ignored: IgnoredReports) -> None:
        self._ledger = ledger
        self._clock = clock
        self._doubts: WeakKeyDictionary[WorkerSession, Doubt] = WeakKeyDictionary()
        self._ignored = ignored

    async def is_used(self, session: WorkerSession, heartbeat: messages.Heartbeat) -> bool:
        """Return whether a report is to be recorded; one that isn't is logged and counted."""
        verdict = await self._judge_by_answer(session, heartbeat)
        if verdict is ReportVerdict.CURRENT and self._is_contradiction(heartbeat.worker):
            verdict = await self._judge_contradiction(session, heartbeat)
        elif verdict is ReportVerdict.CURRENT:
            self._doubts.pop(session, None)
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

    async def _judge_contradiction(
        self, session: WorkerSession, heartbeat: messages.Heartbeat
    ) -> ReportVerdict:
        """Judge a report of what can't change in an incarnation: a second one shows it is right."""
        if not session.has_answered_lately and not await session.ask(ASK_TIMEOUT_MS):
            return ReportVerdict.UNANSWERED
        bounds = session.clock_bounds
        record = _record_of(heartbeat.worker)
        if bounds is None or not self._is_service_named(heartbeat.worker):
            return ReportVerdict.OTHER_RECORD
        doubt = self._doubts.get(session)
        if doubt is None or doubt.record != record:
            self._doubts[session] = Doubt(record, bounds.most.most_at(self._clock.now_ms()))
            return ReportVerdict.OTHER_RECORD
        if heartbeat.clock_ms <= doubt.clock_ms:
            return ReportVerdict.OTHER_RECORD
        del self._doubts[session]
        return ReportVerdict.CURRENT

    def _is_contradiction(self, incarnation: WorkerIncarnation) -> bool:
        known = self._ledger.workers.get(incarnation.id)
        if known is None or known.born != incarnation.born:
            return False
        return contradicts_record(known, incarnation)

    def _is_service_named(self, incarnation: WorkerIncarnation) -> bool:
        manifest = self._ledger.manifest
        return manifest is not None and any(
            service.name == incarnation.service for service in manifest.services
        )


def contradicts_record(known: WorkerIncarnation, incarnation: WorkerIncarnation) -> bool:
    """Return whether a report of a known incarnation says what can't become of it.

    Its service, zone and machine stay the same, and one that drains is never ready again.
    """
    is_ready_again = is_draining(known) and not is_draining(incarnation)
    return is_ready_again or _record_of(known)[:3] != _record_of(incarnation)[:3]


def is_draining(incarnation: WorkerIncarnation) -> bool:
    """Return whether an incarnation has said that it leaves."""
    return incarnation.state is WorkerState.DRAINING


def _record_of(incarnation: WorkerIncarnation) -> Record:
    return incarnation.service, incarnation.zone, incarnation.machine, incarnation.state
