"""Which workers there are: their registration, their reports, and how they left."""

import asyncio
from typing import Any

import msgspec
from expression import Ok, Result

from agateferry_core.clock import MS_PER_S, Clock
from agateferry_core.logs import EventLogger
from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.cell.departures import (
    cause_of_replacement,
    crash_report,
    departed_record,
)
from agateferry_jobs.cell.ignored_reports import IgnoredReports
from agateferry_jobs.cell.proposing import Proposer, reply_for_error
from agateferry_jobs.cell.registration_claims import RegistrationClaims
from agateferry_jobs.cell.report_checks import ReportChecks, contradicts_record, is_draining
from agateferry_jobs.cell.worker_sessions import LeaderHooks, WorkerSessions
from agateferry_jobs.ledger import Ledger, WorkerIncarnation, WorkerState, commands
from agateferry_jobs.ledger.commands import LossCause
from agateferry_jobs.workers.session import WorkerSession
from agateferry_state.replica.protocols import ProposeError

SHUTDOWN_MS = 1_000
"""How long a worker that says that it leaves may take until it no longer answers."""
UNANSWERED_RETENTION_MS = 300_000
"""How long a worker stays recorded that has never answered this leader."""
MAX_FORGOTTEN_AT_ONCE = 10
"""How many of them one check removes, since each is a commit."""
MAX_UNANSWERED = 1_000
"""How many workers that have never answered are recorded; others are looked for first."""
LEAVING_MS = 200
"""How often a draining worker that says that it leaves is asked whether it is still there."""


class WorkerRegistry:
    """Record workers in the ledger as they report, drain, crash and leave.

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
        self._leaving: set[WorkerSession] = set()
        """The sessions whose workers said that they leave, and are looked at until they have."""
        self._removals: set[asyncio.Future[bool]] = set()
        self._log = EventLogger()
        self._log_failure = self._log.on_exception(events.TASK_FAILED)
        sessions.on_ended = self._on_ended

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
                return await self.on_deregister(worker)

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
            await self._deregister(other, cause_of_replacement(other))
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
                command = self._with_crash(command, known, may_have_restarted=True)
        result = await self._proposer.propose(command)
        if result.is_ok():
            self._log_update(incarnation)
        return result

    async def on_deregister(self, worker: str) -> messages.Reply:
        """Remove a worker that shuts down and end its runs as lost.

        The call names neither the incarnation nor its writer. One that arrives late, after the
        worker has started again, must not remove the new incarnation: an incarnation that answers,
        or doesn't drain, is removed only if it does not answer a moment later.
        """
        incarnation = self._ledger.workers.get(worker)
        if incarnation is None:
            return messages.Done()
        session = self._sessions.by_id.get(worker)
        if session is not None and await self._stays(session):
            if session not in self._leaving:
                self._hooks.spawn(self._deregister_unless_present(session))
            return messages.Done()
        # The caller may give the call up while it is committed. Then the removal still has to end
        # the worker's session, or its runs would wait for the lease.
        removal = asyncio.ensure_future(self._deregister(incarnation, LossCause.LEFT))
        self._removals.add(removal)
        removal.add_done_callback(self._removals.discard)
        if not await asyncio.shield(removal):
            return messages.OutcomeUnknown("not stored")
        return messages.Done()

    def _checked_reply(
        self, reply: messages.HeartbeatReply | BaseException
    ) -> messages.HeartbeatReply:
        if not isinstance(reply, BaseException):
            return reply
        self._log_failure(reply)
        return messages.OutcomeUnknown(type(reply).__name__)

    def _on_ended(self, incarnation: WorkerIncarnation, has_restarted: bool) -> None:
        """Remove an incarnation that has ended; the one after it registers by its own heartbeat."""
        cause = cause_of_replacement(incarnation)
        self._hooks.spawn(self._deregister(incarnation, cause, has_restarted))

    async def _stays(self, session: WorkerSession) -> bool:
        """Return whether an incarnation may still be at work although it was to be removed."""
        is_leaving = session.incarnation.state is not WorkerState.READY
        return not is_leaving or await session.is_present(attempts=1)

    async def forget_unanswered(self) -> None:
        """Remove workers without runs that have not answered for long; reports may invent them."""
        old = [
            session
            for session in self._sessions.never_answered()
            if session.age_ms > UNANSWERED_RETENTION_MS and not session.runs
        ]
        for session in old[:MAX_FORGOTTEN_AT_ONCE]:
            await self._deregister(session.incarnation, LossCause.SILENT)

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
            self._log_departure(session.incarnation, cause)
            await self._sessions.close(session, cause, may_have_restarted=True)
        if self._is_without_session(incarnation):
            self._sessions.open_new(incarnation)

    async def _deregister_unless_present(self, session: WorkerSession) -> None:
        """Remove a worker that doesn't answer, once none of its runs can be going on.

        The call may be of an earlier incarnation, and this one may be cut off with its runs. One
        that drains is removed as soon as it doesn't answer.
        """
        self._leaving.add(session)
        try:
            while not await self._has_left_or_stays(session):
                pass
        finally:
            self._leaving.discard(session)

    async def _has_left_or_stays(self, session: WorkerSession) -> bool:
        """Look once, after a while; return False if the worker has to be looked at again."""
        is_leaving = session.incarnation.state is not WorkerState.READY
        await asyncio.sleep((LEAVING_MS if is_leaving else SHUTDOWN_MS) / MS_PER_S)
        if self._sessions.of(session.incarnation) is not session:
            return True
        if await session.is_present():
            return not is_leaving
        if is_leaving or not session.runs or session.is_lease_expired():
            await self._deregister(session.incarnation, LossCause.LEFT)
            return True
        return False

    async def _deregister(
        self, incarnation: WorkerIncarnation, cause: LossCause, may_have_restarted: bool = False
    ) -> bool:
        note = commands.NoteWorker(departed_record(incarnation), self._hooks.now_ms)
        if cause is LossCause.CRASHED:
            note = self._with_crash(note, incarnation, may_have_restarted)
        known = self._ledger.workers.get(incarnation.id)
        if known is None or known.born == incarnation.born:
            result = await self._proposer.propose(note)
            if result.is_error():
                return False
            if result.ok:
                self._log_departure(incarnation, cause)
        session = self._sessions.of(incarnation)
        if session is not None:
            await self._sessions.close(session, cause, may_have_restarted)
        return True

    def _with_crash(
        self, note: commands.NoteWorker, crashed: WorkerIncarnation, may_have_restarted: bool
    ) -> commands.NoteWorker:
        """Return a note that records the crash of an incarnation together with what it notes."""
        session = self._sessions.of(crashed)
        report = crash_report(crashed, session, note.at_ms, may_have_restarted)
        return msgspec.structs.replace(note, crash=report)

    def _log_departure(self, incarnation: WorkerIncarnation, cause: LossCause) -> None:
        """Log that an incarnation has ended, and why; after a crash with the runs that it had."""
        about: dict[str, Any] = {"worker": incarnation.id, "born": incarnation.born}
        if cause is not LossCause.CRASHED:
            self._log.info(events.WORKER_LEFT, **about, reason=cause)
            return
        session = self._sessions.of(incarnation)
        runs = session.runs if session is not None else {}
        keys = sorted(".".join(key) for key in runs)
        self._log.warning(events.WORKER_CRASHED, **about, rack=incarnation.rack, subtasks=keys)
