"""Which workers there are: their registration, their reports, and how they left."""

import asyncio
from typing import Any

import msgspec

from agateferry_core.clock import MS_PER_S
from agateferry_core.logs import EventLogger
from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.cell.departures import (
    cause_of_replacement,
    crash_report,
    departed_record,
)
from agateferry_jobs.cell.proposing import Proposer, reply_for_error
from agateferry_jobs.cell.worker_sessions import LeaderHooks, WorkerSessions
from agateferry_jobs.ledger import Ledger, WorkerIncarnation, WorkerState, commands
from agateferry_jobs.ledger.commands import LossCause
from agateferry_jobs.ledger.state import WorkerKey
from agateferry_jobs.workers.session import (
    WorkerSession,
)

SHUTDOWN_MS = 1_000
"""How long a worker that says that it leaves may take until it no longer answers."""


class WorkerRegistry:
    """Record workers in the ledger as they report, drain, crash and leave.

    A session is open for the current incarnation of each.
    """

    def __init__(
        self, ledger: Ledger, sessions: WorkerSessions, hooks: LeaderHooks, proposer: Proposer
    ) -> None:
        self._ledger = ledger
        self._sessions = sessions
        self._hooks = hooks
        self._proposer = proposer
        self._heartbeat_sequences: dict[WorkerKey, int] = {}
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

        A heartbeat with a lower sequence number than one handled before, one that arrives late, or
        of an incarnation that is outdated, records nothing. Each one opens a session that is
        missing: the heartbeat that registered the worker may have been abandoned by its caller, or
        have had an unknown outcome.
        """
        incarnation = heartbeat.worker
        key = (incarnation.id, incarnation.born)
        if heartbeat.sequence < self._heartbeat_sequences.get(key, -1) or self._is_late(heartbeat):
            return messages.Done()
        known = self._ledger.workers.get(incarnation.id)
        if known != incarnation and not self._is_outdated(incarnation):
            note = commands.NoteWorker(incarnation, self._hooks.now_ms, sequence=heartbeat.sequence)
            if known is not None and self._has_crashed(known, incarnation):
                note = self._with_crash(note, known, may_have_restarted=True)
            result = await self._proposer.propose(note)
            if result.is_error():
                return reply_for_error(result.error)
            if result.ok:
                self._log.info(
                    events.WORKER_UPDATED,
                    worker=incarnation.id,
                    born=incarnation.born,
                    state=incarnation.state,
                    rack=incarnation.rack,
                )
                self._update_session(incarnation)
        if self._is_without_session(incarnation):
            await self._register(incarnation)
        self._heartbeat_sequences[key] = heartbeat.sequence
        session = self._sessions.of(incarnation)
        if session is not None:
            session.record_heartbeat(heartbeat.clock_ms, heartbeat.cold_remaining_ms)
        return messages.Done()

    async def on_deregister(self, worker: str) -> messages.Reply:
        """Remove a worker that shuts down and end its runs as lost.

        The call doesn't name the incarnation. One that arrives late, after the worker has started
        again, must not remove the new incarnation, which does not drain: that is removed only if it
        does not answer a moment later.
        """
        incarnation = self._ledger.workers.get(worker)
        if incarnation is None:
            return messages.Done()
        session = self._sessions.by_id.get(worker)
        if incarnation.state is WorkerState.READY and session is not None:
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

    def _is_late(self, heartbeat: messages.Heartbeat) -> bool:
        """Return whether a heartbeat was held up on its way, so that it shows an earlier state."""
        session = self._sessions.of(heartbeat.worker)
        return session is not None and session.is_late(heartbeat.clock_ms)

    def _is_outdated(self, incarnation: WorkerIncarnation) -> bool:
        """Return whether a newer incarnation is registered at the same address."""
        return any(
            other.address == incarnation.address and other.born > incarnation.born
            for other in self._ledger.workers.values()
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
        return self._sessions.of(incarnation) is None and not self._is_outdated(incarnation)

    async def _register(self, incarnation: WorkerIncarnation) -> None:
        """Open a session for an incarnation and remove the older ones at its address.

        Another call may have opened it meanwhile, or recorded a newer incarnation.
        """
        session = self._sessions.by_id.get(incarnation.id)
        if session is not None:
            cause = cause_of_replacement(session.incarnation)
            self._log_departure(session.incarnation, cause)
            await self._sessions.close(session, cause, may_have_restarted=True)
        for other in list(self._ledger.workers.values()):
            if other.address == incarnation.address and other.born < incarnation.born:
                await self._deregister(other, cause_of_replacement(other))
        if self._is_without_session(incarnation):
            self._sessions.open_new(incarnation)

    async def _deregister_unless_present(self, session: WorkerSession) -> None:
        """Remove a worker that doesn't answer, once none of its runs can be going on.

        The call may be of an earlier incarnation, and this one may be cut off with its runs.
        """
        while True:
            await asyncio.sleep(SHUTDOWN_MS / MS_PER_S)
            is_current = self._sessions.of(session.incarnation) is session
            if not is_current or await session.is_present():
                return
            if not session.runs or session.is_lease_expired():
                await self._deregister(session.incarnation, LossCause.LEFT)
                return

    async def _deregister(
        self, incarnation: WorkerIncarnation, cause: LossCause, may_have_restarted: bool = False
    ) -> bool:
        note = commands.NoteWorker(departed_record(incarnation), self._hooks.now_ms)
        if cause is LossCause.CRASHED:
            note = self._with_crash(note, incarnation, may_have_restarted)
        result = await self._proposer.propose(note)
        if result.is_error():
            return False
        if result.ok:
            self._log_departure(incarnation, cause)
        session = self._sessions.of(incarnation)
        if session is not None:
            await self._sessions.close(session, cause, may_have_restarted)
        return True

    def _has_crashed(self, known: WorkerIncarnation, new: WorkerIncarnation) -> bool:
        return known.born < new.born and cause_of_replacement(known) is LossCause.CRASHED

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
