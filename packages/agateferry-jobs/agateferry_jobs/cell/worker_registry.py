"""Which workers there are: their registration and their reports."""

import asyncio
from typing import Any

from expression import Ok, Result

from agateferry_core.clock import Clock
from agateferry_core.logs import EventLogger
from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.cell.departures import cause_of_replacement, departed_record
from agateferry_jobs.cell.ignored_reports import IgnoredReports
from agateferry_jobs.cell.proposing import Proposer, reply_for_error
from agateferry_jobs.cell.registration_claims import RegistrationClaims
from agateferry_jobs.cell.report_checks import ReportChecks, contradicts_record, is_draining
from agateferry_jobs.cell.worker_removals import WorkerRemovals
from agateferry_jobs.cell.worker_sessions import LeaderHooks, WorkerSessions
from agateferry_jobs.ledger import Ledger, WorkerIncarnation, commands
from agateferry_jobs.ledger.commands import LossCause
from agateferry_state.replica.protocols import ProposeError

MAX_UNANSWERED = 1_000
"""How many workers that have never answered are recorded; others are looked for first."""


class WorkerRegistry:
    """Record workers in the ledger as they report and drain; `WorkerRemovals` removes them.

    A session is open for the current incarnation of each.
    """

    def __init__(
        self,
        ledger: Ledger,
        sessions: WorkerSessions,
        hooks: LeaderHooks,
        proposer: Proposer,
        clock: Clock,
    ) -> None:
        self._ledger = ledger
        self._sessions = sessions
        self._hooks = hooks
        self._proposer = proposer
        self._claims = RegistrationClaims(ledger, sessions, self._admit)
        self._ignored = IgnoredReports(events.REPORT_UNUSED)
        self._checks = ReportChecks(ledger, clock, self._ignored)
        self._removals = WorkerRemovals(ledger, sessions, hooks, proposer)
        self._log = EventLogger()
        self._log_failure = self._log.on_exception(events.TASK_FAILED)

    async def handle(
        self, call: messages.Heartbeat | messages.HeartbeatBatch | messages.Deregister
    ) -> messages.Reply:
        """Handle a call of a worker, or a batch of them."""
        match call:
            case messages.Heartbeat():
                return await self.on_heartbeat(call)
            case messages.HeartbeatBatch(heartbeats):
                return await self.on_heartbeats(heartbeats)
            case messages.Deregister(worker):
                return await self._removals.on_deregister(worker)

    async def on_heartbeats(
        self, heartbeats: tuple[messages.Heartbeat, ...]
    ) -> messages.HeartbeatReplies:
        """Handle the heartbeats of a batch; the changes among them share a sync of the log.

        One that meets an unexpected error must not keep the others from being acknowledged.
        """
        replies = await asyncio.gather(
            *(self.on_heartbeat(each) for each in heartbeats), return_exceptions=True
        )
        return messages.HeartbeatReplies(tuple(map(self._checked_reply, replies)))

    async def on_heartbeat(self, heartbeat: messages.Heartbeat) -> messages.HeartbeatReply:
        """Register a worker, or record its new state; `Done` means that this is committed.

        A report that contradicts the ledger changes nothing until the worker has been found at its
        address. So does one of a new worker beside very many that have not answered. One that is
        late, or of a service that the manifest doesn't name, records nothing.
        """
        incarnation = heartbeat.worker
        if self._is_unusable(incarnation):
            self._ignored.record(incarnation, "service not named", sequence=heartbeat.sequence)
            return messages.Done()
        if self._claims.is_claim(incarnation) or self._is_one_too_many(incarnation):
            return await self._claims.handle(heartbeat)
        return await self._on_own_report(heartbeat)

    async def _on_own_report(self, heartbeat: messages.Heartbeat) -> messages.HeartbeatReply:
        """Record the state that the current incarnation of a worker, or a new worker, reports.

        Each report opens a session that is missing: the one that registered the worker may have
        been abandoned by its caller, or have had an unknown outcome.
        """
        incarnation = heartbeat.worker
        session = self._sessions.of(incarnation)
        if session is not None:
            if not await self._checks.is_used(session, heartbeat):
                return self._reply_to_unused(incarnation)
            session.record_report_order(heartbeat.sequence, heartbeat.clock_ms)
        if self._ledger.workers.get(incarnation.id) != incarnation:
            result = await self._propose_update(heartbeat)
            if result.is_error():
                return reply_for_error(result.error)
            if result.ok:
                self._update_session(incarnation)
            else:
                self._ignored.record(incarnation, "not news", sequence=heartbeat.sequence)
        if self._is_without_session(incarnation):
            await self._register(incarnation)
        self._record_report(heartbeat)
        return messages.Done()

    async def _propose_update(self, heartbeat: messages.Heartbeat) -> Result[Any, ProposeError]:
        """Record what a report says, also where the record comes from one of another writer.

        Such a record may have a number that keeps later reports out, or say that the worker drains.
        An `AdmitWorker` goes before the number, and after a removal before the draining too.
        """
        incarnation = heartbeat.worker
        known = self._ledger.workers.get(incarnation.id)
        command: commands.Command
        command = commands.NoteWorker(incarnation, self._hooks.now_ms, sequence=heartbeat.sequence)
        if known is not None and known.born == incarnation.born:
            is_contradiction = contradicts_record(known, incarnation)
            if is_contradiction and not self._is_clock_proved(heartbeat):
                return Ok(False)
            if is_draining(known) and not is_draining(incarnation):
                removal = commands.NoteWorker(departed_record(known), self._hooks.now_ms)
                removed = await self._proposer.propose(removal)
                if removed.is_error():
                    return removed
            if is_contradiction or self._is_numbered_before(heartbeat):
                command = commands.AdmitWorker(incarnation, heartbeat.sequence)
        result = await self._proposer.propose(command)
        if result.is_ok() and result.ok:
            self._log_update(incarnation)
        return result

    def _is_numbered_before(self, heartbeat: messages.Heartbeat) -> bool:
        """Return whether a report has a lower number than the one recorded, although it is later.

        That one was of another writer, since the clocks of the two tell which is later.
        """
        reports = self._ledger.state.reports.get(heartbeat.worker.id)
        is_lower = reports is not None and heartbeat.sequence < reports.sequence
        return is_lower and self._is_clock_proved(heartbeat)

    def _is_clock_proved(self, heartbeat: messages.Heartbeat) -> bool:
        """Return whether the clock of a report that is used was compared with an answer."""
        session = self._sessions.of(heartbeat.worker)
        return session is not None and session.clock_bounds is not None and heartbeat.clock_ms > 0

    def _reply_to_unused(self, incarnation: WorkerIncarnation) -> messages.HeartbeatReply:
        """Return the reply to a report that is not used.

        The acknowledgement of one that drains says that nothing starts there any more.
        """
        known = self._ledger.workers.get(incarnation.id)
        if is_draining(incarnation) and known is not None and not is_draining(known):
            return messages.OutcomeUnknown("not used")
        return messages.Done()

    async def _admit(self, heartbeat: messages.Heartbeat) -> messages.HeartbeatReply:
        """Record an incarnation that was found at its address, and end those whose place it took.

        Older records of its id or address are wrong, whatever their `born` is.
        """
        incarnation = heartbeat.worker
        if not self._claims.is_claim(incarnation):
            return await self._on_own_report(heartbeat)
        known = self._ledger.workers.get(incarnation.id)
        result = await self._propose_admission(heartbeat, known)
        if result.is_error():
            return reply_for_error(result.error)
        if known is not None and known.born == incarnation.born:
            await self._sessions.reopen(incarnation)
        for other in self._others_at_address_of(incarnation):
            await self._removals.remove(other, cause_of_replacement(other))
        if self._is_without_session(incarnation):
            await self._register(incarnation)
        self._record_report(heartbeat)
        return messages.Done()

    async def _propose_admission(
        self, heartbeat: messages.Heartbeat, known: WorkerIncarnation | None
    ) -> Result[Any, ProposeError]:
        incarnation = heartbeat.worker
        gone_born = self._ledger.state.gone.get(incarnation.id, -1)
        newest_born = max(known.born if known is not None else -1, gone_born)
        command: commands.Command
        if incarnation.born <= newest_born:
            command = commands.AdmitWorker(incarnation, heartbeat.sequence)
        else:
            now_ms = self._hooks.now_ms
            command = commands.NoteWorker(incarnation, now_ms, sequence=heartbeat.sequence)
            if known is not None and cause_of_replacement(known) is LossCause.CRASHED:
                command = self._removals.with_crash(command, known, may_have_restarted=True)
        result = await self._proposer.propose(command)
        if result.is_ok():
            self._log_update(incarnation)
        return result

    async def forget_unanswered(self) -> None:
        """Remove workers without runs that have not answered for long; reports may invent them."""
        await self._removals.forget_unanswered()

    def _checked_reply(
        self, reply: messages.HeartbeatReply | BaseException
    ) -> messages.HeartbeatReply:
        if not isinstance(reply, BaseException):
            return reply
        self._log_failure(reply)
        return messages.OutcomeUnknown(type(reply).__name__)

    def _is_unusable(self, incarnation: WorkerIncarnation) -> bool:
        """Return whether a worker is not known, and of a service that the manifest doesn't name."""
        if incarnation.id in self._ledger.workers:
            return False
        manifest = self._ledger.manifest
        if manifest is None:
            return False
        return all(service.name != incarnation.service for service in manifest.services)

    def _is_one_too_many(self, incarnation: WorkerIncarnation) -> bool:
        """Return whether a worker is not known, beside very many that have not answered."""
        is_known = incarnation.id in self._ledger.workers
        return not is_known and len(self._sessions.never_answered()) >= MAX_UNANSWERED

    def _others_at_address_of(self, incarnation: WorkerIncarnation) -> list[WorkerIncarnation]:
        return [
            other
            for other in self._ledger.workers.values()
            if other.address == incarnation.address and other.id != incarnation.id
        ]

    def _record_report(self, heartbeat: messages.Heartbeat) -> None:
        session = self._sessions.of(heartbeat.worker)
        if session is not None:
            session.record_report(heartbeat.clock_ms, heartbeat.cold_remaining_ms)

    def _log_update(self, incarnation: WorkerIncarnation) -> None:
        self._log.info(
            events.WORKER_UPDATED,
            worker=incarnation.id,
            born=incarnation.born,
            state=incarnation.state,
            rack=incarnation.rack,
        )

    def _update_session(self, incarnation: WorkerIncarnation) -> None:
        """Replace the recorded state of an incarnation that has a session."""
        session = self._sessions.of(incarnation)
        if session is not None:
            session.incarnation = incarnation
            self._hooks.request_planning()

    def _is_without_session(self, incarnation: WorkerIncarnation) -> bool:
        """Return whether an incarnation is the newest of its worker and has no session.

        A host that has stopped leading since the call came has none, and needs none.
        """
        if not self._hooks.may_send_orders():
            return False
        known = self._ledger.workers.get(incarnation.id)
        if known is None or known.born != incarnation.born:
            return False
        return self._sessions.of(incarnation) is None

    async def _register(self, incarnation: WorkerIncarnation) -> None:
        """Open a session for an incarnation and close that with the one before it.

        Another call may have opened it meanwhile, or recorded a newer incarnation.
        """
        session = self._sessions.by_id.get(incarnation.id)
        if session is not None:
            cause = cause_of_replacement(session.incarnation)
            self._removals.log_departure(session.incarnation, cause)
            await self._sessions.close(session, cause, may_have_restarted=True)
        if self._is_without_session(incarnation):
            self._sessions.open_new(incarnation)
