"""How workers leave: by their own word, because another takes their place, or unanswered."""

import asyncio
from typing import Any

import msgspec

from agateferry_core.clock import MS_PER_S
from agateferry_core.logs import EventLogger
from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.cell.departures import cause_of_replacement, crash_report, departed_record
from agateferry_jobs.cell.proposing import Proposer
from agateferry_jobs.cell.worker_sessions import LeaderHooks, WorkerSessions
from agateferry_jobs.ledger import Ledger, WorkerIncarnation, WorkerState, commands
from agateferry_jobs.ledger.commands import LossCause
from agateferry_jobs.workers.session import WorkerSession

SHUTDOWN_MS = 1_000
"""How long a worker that says that it leaves may take until it no longer answers."""
UNANSWERED_RETENTION_MS = 300_000
"""How long a worker stays recorded that has never answered this leader."""
MAX_FORGOTTEN_AT_ONCE = 10
"""How many of them one check removes, since each is a commit."""
LEAVING_MS = 200
"""How often a draining worker that says that it leaves is asked whether it is still there."""


class WorkerRemovals:
    """Remove workers from the ledger, and end the sessions and the runs of those that left."""

    def __init__(
        self, ledger: Ledger, sessions: WorkerSessions, hooks: LeaderHooks, proposer: Proposer
    ) -> None:
        self._ledger = ledger
        self._sessions = sessions
        self._hooks = hooks
        self._proposer = proposer
        self._leaving: set[WorkerSession] = set()
        """The sessions whose workers said that they leave, and are looked at until they have."""
        self._pending: set[asyncio.Future[bool]] = set()
        """Removals that go on although their caller may have given up."""
        self._log = EventLogger()
        sessions.on_ended = self._on_ended

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
                self._hooks.spawn(self._remove_unless_present(session))
            return messages.Done()
        # The caller may give the call up while it is committed. Then the removal still has to end
        # the worker's session, or its runs would wait for the lease.
        removal = asyncio.ensure_future(self.remove(incarnation, LossCause.LEFT))
        self._pending.add(removal)
        removal.add_done_callback(self._pending.discard)
        if not await asyncio.shield(removal):
            return messages.OutcomeUnknown("not stored")
        return messages.Done()

    def _on_ended(self, incarnation: WorkerIncarnation, has_restarted: bool) -> None:
        """Remove an incarnation that has ended; the one after it registers by its own heartbeat."""
        cause = cause_of_replacement(incarnation)
        self._hooks.spawn(self.remove(incarnation, cause, has_restarted))

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
            await self.remove(session.incarnation, LossCause.SILENT)

    async def _remove_unless_present(self, session: WorkerSession) -> None:
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
            await self.remove(session.incarnation, LossCause.LEFT)
            return True
        return False

    async def remove(
        self, incarnation: WorkerIncarnation, cause: LossCause, may_have_restarted: bool = False
    ) -> bool:
        """Remove an incarnation and end its runs as lost; return whether that is committed."""
        note = commands.NoteWorker(departed_record(incarnation), self._hooks.now_ms)
        if cause is LossCause.CRASHED:
            note = self.with_crash(note, incarnation, may_have_restarted)
        known = self._ledger.workers.get(incarnation.id)
        if known is None or known.born == incarnation.born:
            result = await self._proposer.propose(note)
            if result.is_error():
                return False
            if result.ok:
                self.log_departure(incarnation, cause)
        session = self._sessions.of(incarnation)
        if session is not None:
            await self._sessions.close(session, cause, may_have_restarted)
        return True

    def with_crash(
        self, note: commands.NoteWorker, crashed: WorkerIncarnation, may_have_restarted: bool
    ) -> commands.NoteWorker:
        """Return a note that records the crash of an incarnation together with what it notes."""
        session = self._sessions.of(crashed)
        report = crash_report(crashed, session, note.at_ms, may_have_restarted)
        return msgspec.structs.replace(note, crash=report)

    def log_departure(self, incarnation: WorkerIncarnation, cause: LossCause) -> None:
        """Log that an incarnation has ended, and why; after a crash with the runs that it had."""
        about: dict[str, Any] = {"worker": incarnation.id, "born": incarnation.born}
        if cause is not LossCause.CRASHED:
            self._log.info(events.WORKER_LEFT, **about, reason=cause)
            return
        session = self._sessions.of(incarnation)
        runs = session.runs if session is not None else {}
        keys = sorted(".".join(key) for key in runs)
        self._log.warning(events.WORKER_CRASHED, **about, rack=incarnation.rack, subtasks=keys)
