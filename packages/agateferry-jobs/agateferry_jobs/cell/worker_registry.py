"""The workers that the leader knows, with one session for the current incarnation of each."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Protocol

import msgspec

from agateferry_core.clock import MS_PER_S, Clock
from agateferry_core.logs import EventLogger
from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.cell.departures import (
    cause_of_replacement,
    crash_report,
    gone,
    lost_run_end,
)
from agateferry_jobs.cell.proposing import Proposer, reply_for_error
from agateferry_jobs.ledger import Ledger, Run, WorkerIncarnation, WorkerState, commands
from agateferry_jobs.ledger.commands import LossCause
from agateferry_jobs.planning import WorkerHealth
from agateferry_jobs.planning.fleet import RunKey
from agateferry_jobs.workers.lease import Lease, max_local_ms
from agateferry_jobs.workers.report_age import ReportAge
from agateferry_jobs.workers.session import (
    MAX_POLL_WAIT_MS,
    MIN_POLL_WAIT_MS,
    PortFactory,
    SessionListener,
    WorkerSession,
)
from agateferry_state.replication import LeaderContact

SHUTDOWN_MS = 1_000
"""How long a worker that says that it leaves may take until it no longer answers."""
MAX_IDLE_POLLS_PER_S = 60
"""How many polls a second the leader sends at most to workers where no run ends."""


class LeaderHooks(Protocol):
    """What the worker registry needs from the leader."""

    @property
    def now_ms(self) -> int:
        """Return wall-clock ms since the Unix epoch."""

    def next_token(self) -> int:
        """Return a fencing token greater than all issued before."""

    def may_send_orders(self) -> bool:
        """Return whether this host leads now, so that it may send orders to workers."""

    async def commit_run_ends(self, ends: tuple[commands.RunEnded, ...]) -> bool:
        """Commit how runs ended; return whether that succeeded."""

    def request_planning(self) -> None:
        """Make a new plan soon."""

    def spawn(self, coro: Coroutine[Any, Any, Any]) -> None:
        """Run a background task; an exception in it is logged."""


class WorkerRegistry(SessionListener):
    """Open a session for each worker in the ledger; close it when that incarnation ends."""

    def __init__(
        self,
        ledger: Ledger,
        clock: Clock,
        make_port: PortFactory,
        lease_ms: int,
        max_report_age_ms: int | None,
        hooks: LeaderHooks,
        proposer: Proposer,
    ) -> None:
        self.sessions: dict[str, WorkerSession] = {}
        self._ledger = ledger
        self._clock = clock
        self._make_port = make_port
        self._lease_ms = lease_ms
        self._max_report_age_ms = max_report_age_ms
        self._hooks = hooks
        self._proposer = proposer
        self._heartbeat_sequences: dict[tuple[str, int], int] = {}
        self._log = EventLogger()

    def open_sessions(self, contact: LeaderContact | None) -> None:
        """Open a session for each worker in the ledger and adopt the runs that may run there.

        Called when this host becomes leader. Earlier leaders may have granted leases up to now, so
        a worker's lease counts as valid for one full lease from now. An earlier leader has the
        workers' reports up to the end of its `contact` with this host, if that was long enough for
        each worker to report.
        """
        earlier_leases_until_ms = self._clock.now_ms() + max_local_ms(self._lease_ms)
        max_age_ms = self._max_report_age_ms or 0
        has_reports = contact is not None and contact.duration_ms >= max_age_ms
        reported_ms = contact.last_ms if contact is not None and has_reports else None
        for incarnation in self._ledger.workers.values():
            self._open_session(incarnation, earlier_leases_until_ms, reported_ms)
        lost = self._adopt_all()
        if lost:
            self._hooks.spawn(self._commit_lost_runs(lost))

    def detach_sessions(self) -> list[WorkerSession]:
        """Give up all sessions, at once, and return them to be closed."""
        sessions, self.sessions = self.sessions, {}
        return list(sessions.values())

    async def on_heartbeat(self, heartbeat: messages.Heartbeat) -> messages.Reply:
        """Register a worker, or record its new state; `Done` means that this is committed.

        A heartbeat with a lower sequence number than one handled before, one that arrives late, or
        of an incarnation that is outdated, records nothing.
        """
        incarnation = heartbeat.worker
        key = (incarnation.id, incarnation.born)
        if heartbeat.sequence < self._heartbeat_sequences.get(key, -1) or self._is_late(heartbeat):
            return messages.Done()
        known = self._ledger.workers.get(incarnation.id)
        if known != incarnation and not self._is_outdated(incarnation):
            note = commands.NoteWorker(incarnation, self._hooks.now_ms, sequence=heartbeat.sequence)
            if known is not None and self._has_crashed(known, incarnation):
                note = self._with_crash(note, known)
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
                await self._register(incarnation)
        self._heartbeat_sequences[key] = heartbeat.sequence
        session = self.sessions.get(incarnation.id)
        if session is not None and session.incarnation.born == incarnation.born:
            session.record_heartbeat(heartbeat.clock_ms)
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
        if incarnation.state is WorkerState.READY and worker in self.sessions:
            self._hooks.spawn(self._deregister_unless_present(self.sessions[worker]))
            return messages.Done()
        if not await self._deregister(incarnation, LossCause.LEFT):
            return messages.OutcomeUnknown("not stored")
        return messages.Done()

    def start_run(self, start: commands.RunStart, payload: str) -> None:
        """Send the start order of a run whose start is committed.

        If the worker has left or restarted since, the run is ended as lost.
        """
        session = self.sessions.get(start.run.worker)
        if session is not None and session.incarnation.born == start.run.born:
            session.start_run(start, payload)
        else:
            self._hooks.spawn(
                self._commit_lost_runs((lost_run_end((start.job, start.subtask), start.run),))
            )

    def stop_run(self, key: RunKey, run: Run) -> bool:
        """Stop a run; return False where it is not tracked or is being stopped already."""
        session = self.sessions.get(run.worker)
        tracked = session.runs.get(key) if session is not None else None
        if session is None or tracked is None or tracked.run != run or tracked.is_stopping:
            return False
        session.stop_run(key)
        return True

    def stopping_runs(self) -> set[RunKey]:
        """Return the keys of runs that are being stopped."""
        return {
            key
            for session in self.sessions.values()
            for key, tracked in session.runs.items()
            if tracked.is_stopping
        }

    def knows_all(self) -> bool:
        """Return whether each worker has answered a poll of this leader, or failed to."""
        return all(session.is_known for session in self.sessions.values())

    def health(self, is_suspect: Callable[[str, int], bool]) -> dict[str, WorkerHealth]:
        """Return each worker's health for the planner, by worker id."""
        return {
            id: session.health(is_suspect(id, session.incarnation.born))
            for id, session in self.sessions.items()
        }

    async def end_lost_runs(self) -> None:
        """Adopt runs that no session tracks, and end those that no worker can report any more.

        These are runs of workers that left or restarted, and all runs of a worker that does not
        answer and whose lease has expired.
        """
        await self._commit_lost_runs(self._adopt_all())
        for session in list(self.sessions.values()):
            is_silent = not session.health(False).answers
            if session.runs and is_silent and session.is_lease_expired():
                await self._commit_lost_runs(session.ends_as_lost(LossCause.SILENT))

    def next_token(self) -> int:
        """Return a fencing token greater than all issued before."""
        return self._hooks.next_token()

    def may_send_orders(self) -> bool:
        """Return whether this host leads now, so that it may send orders to workers."""
        return self._hooks.may_send_orders()

    async def commit_run_ends(self, ends: tuple[commands.RunEnded, ...]) -> bool:
        """Commit how runs ended; return whether that succeeded."""
        return await self._hooks.commit_run_ends(ends)

    def request_planning(self) -> None:
        """Make a new plan soon."""
        self._hooks.request_planning()

    def poll_wait_ms(self) -> int:
        """Return how long a worker may delay the answer to a poll; longer with more workers."""
        wait_ms = len(self.sessions) * MS_PER_S // MAX_IDLE_POLLS_PER_S
        return min(MAX_POLL_WAIT_MS, max(MIN_POLL_WAIT_MS, wait_ms))

    def on_incarnation_replaced(self, incarnation: WorkerIncarnation) -> None:
        """Remove a replaced incarnation; the new one registers by its own heartbeat."""
        self._hooks.spawn(self._deregister(incarnation, cause_of_replacement(incarnation)))

    def _is_late(self, heartbeat: messages.Heartbeat) -> bool:
        """Return whether a heartbeat was held up on its way, so that it shows an earlier state."""
        session = self.sessions.get(heartbeat.worker.id)
        is_current = session is not None and session.incarnation.born == heartbeat.worker.born
        return is_current and session is not None and session.is_late(heartbeat.clock_ms)

    def _is_outdated(self, incarnation: WorkerIncarnation) -> bool:
        """Return whether a newer incarnation is registered at the same address."""
        return any(
            other.address == incarnation.address and other.born > incarnation.born
            for other in self._ledger.workers.values()
        )

    async def _register(self, incarnation: WorkerIncarnation) -> None:
        """Open a session for a new incarnation and remove the older ones at its address.

        If the incarnation has a session already, only its recorded state is replaced.
        """
        session = self.sessions.get(incarnation.id)
        if session is not None and session.incarnation.born == incarnation.born:
            session.incarnation = incarnation
            self.request_planning()
            return
        if session is not None:
            cause = cause_of_replacement(session.incarnation)
            self._log_departure(session.incarnation, cause)
            await self._close_session(session, cause)
        for other in list(self._ledger.workers.values()):
            if other.address == incarnation.address and other.born < incarnation.born:
                await self._deregister(other, cause_of_replacement(other))
        self._open_session(incarnation, 0, reported_ms=self._clock.now_ms())

    async def _deregister_unless_present(self, session: WorkerSession) -> None:
        await asyncio.sleep(SHUTDOWN_MS / MS_PER_S)
        is_current = self.sessions.get(session.incarnation.id) is session
        if is_current and not await session.is_present():
            await self._deregister(session.incarnation, LossCause.LEFT)

    async def _deregister(self, incarnation: WorkerIncarnation, cause: LossCause) -> bool:
        note = commands.NoteWorker(gone(incarnation), self._hooks.now_ms)
        if cause is LossCause.CRASHED:
            note = self._with_crash(note, incarnation)
        result = await self._proposer.propose(note)
        if result.is_error():
            return False
        if result.ok:
            self._log_departure(incarnation, cause)
        session = self.sessions.get(incarnation.id)
        if session is not None and session.incarnation.born == incarnation.born:
            await self._close_session(session, cause)
        return True

    def _has_crashed(self, known: WorkerIncarnation, new: WorkerIncarnation) -> bool:
        return known.born < new.born and cause_of_replacement(known) is LossCause.CRASHED

    def _with_crash(
        self, note: commands.NoteWorker, crashed: WorkerIncarnation
    ) -> commands.NoteWorker:
        """Return a note that records the crash of an incarnation together with what it notes."""
        report = crash_report(crashed, self.sessions.get(crashed.id), note.at_ms)
        return msgspec.structs.replace(note, crash=report)

    def _log_departure(self, incarnation: WorkerIncarnation, cause: LossCause) -> None:
        """Log that an incarnation has ended, and why; after a crash with the runs that it had."""
        about: dict[str, Any] = {"worker": incarnation.id, "born": incarnation.born}
        if cause is not LossCause.CRASHED:
            self._log.info(events.WORKER_LEFT, **about, reason=cause)
            return
        session = self.sessions.get(incarnation.id)
        runs = session.runs if session is not None else {}
        keys = sorted(".".join(key) for key in runs)
        self._log.warning(events.WORKER_CRASHED, **about, rack=incarnation.rack, subtasks=keys)

    async def _close_session(self, session: WorkerSession, cause: LossCause) -> None:
        ends = session.ends_as_lost(cause)
        self.sessions.pop(session.incarnation.id, None)
        await session.close()
        await self._commit_lost_runs(ends)

    async def _commit_lost_runs(self, ends: tuple[commands.RunEnded, ...]) -> None:
        if not ends or not await self._hooks.commit_run_ends(ends):
            return
        for end in ends:
            session = self.sessions.get(end.run.worker)
            if session is not None:
                session.forget((end.job, end.subtask), end.run)

    def _open_session(
        self, incarnation: WorkerIncarnation, earlier_leases_until_ms: int, reported_ms: int | None
    ) -> None:
        lease = Lease(self._lease_ms, earlier_leases_until_ms)
        reports = ReportAge(self._max_report_age_ms, reported_ms)
        self.sessions[incarnation.id] = WorkerSession(
            incarnation, self._make_port(incarnation), self, self._clock, lease, reports
        )

    def _adopt_all(self) -> tuple[commands.RunEnded, ...]:
        """Have a session track each active run; return ends for runs of incarnations that ended.

        A run can be in the ledger although no order was sent: the outcome of committing its start
        was unknown to the leader that proposed it.
        """
        lost = []
        for job in self._ledger.jobs.values():
            for name, subtask in job.subtasks.items():
                run = subtask.active
                if run is None:
                    continue
                session = self.sessions.get(run.worker)
                if session is None or session.incarnation.born != run.born:
                    lost.append(lost_run_end((job.id, name), run))
                else:
                    session.adopt((job.id, name), run)
        return tuple(lost)


async def close_all(sessions: Sequence[WorkerSession]) -> None:
    """Close sessions, one after the other."""
    for session in sessions:
        await session.close()
