"""The leader's sessions with workers: one for the current incarnation of each."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator, Sequence
from contextlib import AbstractAsyncContextManager, contextmanager
from typing import Any, Protocol

from agateferry_core.clock import MS_PER_S, Clock
from agateferry_jobs.cell.departures import lost_run_end
from agateferry_jobs.ledger import Job, Ledger, Run, WorkerIncarnation, commands
from agateferry_jobs.ledger.commands import LossCause
from agateferry_jobs.ledger.state import RunKey, gang_of
from agateferry_jobs.planning import WorkerHealth
from agateferry_jobs.planning.paces import Progress
from agateferry_jobs.workers.clock_bounds import max_local_ms
from agateferry_jobs.workers.lease import Lease
from agateferry_jobs.workers.listener import SessionListener
from agateferry_jobs.workers.presence import Presence, find_presence
from agateferry_jobs.workers.report_age import ReportAge
from agateferry_jobs.workers.session import (
    MAX_POLL_WAIT_MS,
    MIN_POLL_WAIT_MS,
    ORDER_TIMEOUT_MS,
    PortFactory,
    WorkerSession,
)
from agateferry_jobs.workers.tracked_run import Phase
from agateferry_state.replication import LeaderContact

MAX_IDLE_POLLS_PER_S = 60
"""How many polls a second the leader sends at most to workers where no run ends."""
MAX_IDLE_CONNECTIONS = 1_000
"""With more workers, no connections are kept to those without runs.

A host has about 3,900 descriptors, also for the heartbeats and for its connections to other hosts.
"""
CLAIM_ATTEMPTS = 2
"""How often the address in a report is asked for its worker, since an answer may be lost."""
MAX_CONTACT_POLLS = 300
"""How many workers that have not answered yet, or do not answer, are polled at the same time.

The polls of a fleet of this size take up to a third of the leader's lease to send.
"""


class LeaderHooks(Protocol):
    """What the workers' sessions and their registry need from the leader."""

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

    def on_run_begun(self, key: RunKey, is_adopted: bool) -> None:
        """Handle that a run has begun; an adopted one was ordered by an earlier leader."""

    def spawn(self, coro: Coroutine[Any, Any, Any]) -> None:
        """Run a background task; an exception in it is logged."""


class WorkerSessions(SessionListener):
    """Track the runs on all workers, each through the session with its worker.

    `on_ended` is called for an incarnation at whose address another one answers, and with whether
    that is of the same worker; `on_answering` once a worker that gets no lease answers. A worker
    refuses a start order that arrives more than `max_start_ms` after it was sent, and shortens
    leases to `max_lease_ms`.
    """

    def __init__(
        self,
        ledger: Ledger,
        clock: Clock,
        make_port: PortFactory,
        lease_ms: int,
        max_report_age_ms: int | None,
        hooks: LeaderHooks,
        max_start_ms: int | None = None,
        max_lease_ms: int | None = None,
    ) -> None:
        self.by_id: dict[str, WorkerSession] = {}
        self._contact_slots = asyncio.Semaphore(MAX_CONTACT_POLLS)
        self.on_ended: Callable[[WorkerIncarnation, bool], None] = lambda *_: None
        self.on_answering: Callable[[], None] = lambda: None
        self._ledger = ledger
        self._clock = clock
        self._make_port = make_port
        self._lease_ms = lease_ms
        self._max_report_age_ms = max_report_age_ms
        self._hooks = hooks
        self._max_start_ms = max_start_ms
        self._max_lease_ms = max(lease_ms, max_lease_ms or lease_ms)
        self._held_until_ms: dict[tuple[RunKey, Run], int] = {}
        """Until when a run of an incarnation that ended may go on at its worker's next one."""
        self._committing_starts: set[RunKey] = set()

    def of(self, incarnation: WorkerIncarnation) -> WorkerSession | None:
        """Return the session with an incarnation, or None if there is none."""
        session = self.by_id.get(incarnation.id)
        is_it = session is not None and session.incarnation.born == incarnation.born
        return session if is_it else None

    def open_new(self, incarnation: WorkerIncarnation) -> None:
        """Open a session with an incarnation that has just reported for the first time."""
        self._open_session(incarnation, 0, reported_ms=self._clock.now_ms())

    def open_all(self, contact: LeaderContact | None) -> None:
        """Open a session for each worker in the ledger and adopt the runs that may run there.

        Called when this host becomes leader. Earlier leaders may have granted leases up to now, so
        a worker's lease counts as valid for one full lease from now, unless the cell has it as
        silent since before. An earlier leader has the workers' reports up to the end of its
        `contact` with this host, if that was long enough for each worker to report.
        """
        self._held_until_ms.clear()
        earlier_leases_until_ms = self._clock.now_ms() + max_local_ms(self._lease_ms)
        max_age_ms = self._max_report_age_ms or 0
        has_reports = contact is not None and contact.duration_ms >= max_age_ms
        reported_ms = contact.last_ms if contact is not None and has_reports else None
        for incarnation in self._workers_with_runs_first():
            silent_until_ms = self._ledger.silent_lease_until_ms(incarnation)
            until_ms = earlier_leases_until_ms if silent_until_ms is None else silent_until_ms
            self._open_session(incarnation, until_ms, reported_ms)
        lost = self._adopt_all()
        if lost:
            self._hooks.spawn(self._commit_lost_runs(lost))

    async def reopen(self, incarnation: WorkerIncarnation) -> None:
        """Replace the session with an incarnation whose address was recorded wrongly.

        The runs that the ledger places on it go on; the new session adopts them.
        """
        session = self.of(incarnation)
        if session is not None:
            del self.by_id[incarnation.id]
            await session.close()
        if self.by_id.get(incarnation.id) is None:
            leases_until_ms = self._clock.now_ms() + max_local_ms(self._lease_ms)
            self._open_session(incarnation, leases_until_ms, reported_ms=self._clock.now_ms())
            # A run that a poll lists before it is adopted would be stopped.
            self._hooks.spawn(self._commit_lost_runs(self._adopt_all()))

    def never_answered(self) -> list[WorkerSession]:
        """Return the sessions whose worker has not answered since they were opened."""
        return [session for session in self.by_id.values() if not session.has_answered]

    async def presence_of(self, incarnation: WorkerIncarnation) -> Presence:
        """Ask at the address that a report gives whether its incarnation is there.

        The token of orders that are under way to the id is kept, so that these are not rejected.
        """
        if not self._hooks.may_send_orders():
            return Presence.SILENT
        session = self.by_id.get(incarnation.id)
        token = session.token if session is not None else self._hooks.next_token()
        port = self._make_port(incarnation)
        try:
            return await find_presence(
                port, incarnation.born, token, ORDER_TIMEOUT_MS, CLAIM_ATTEMPTS
            )
        finally:
            await port.close()

    def detach_all(self) -> list[WorkerSession]:
        """Give up all sessions, at once, and return them to be closed."""
        sessions, self.by_id = self.by_id, {}
        return list(sessions.values())

    @contextmanager
    def committing_starts(self, starts: Sequence[commands.RunStart]) -> Iterator[None]:
        """Count the orders of runs as under way while their starts are being committed."""
        self._committing_starts = {(start.job, start.subtask) for start in starts}
        try:
            yield
        finally:
            self._committing_starts = set()

    def start_run(self, start: commands.RunStart, payload: str) -> None:
        """Send the start order of a run whose start is committed.

        If the worker has left or restarted since, the run is ended as lost.
        """
        session = self.by_id.get(start.run.worker)
        if session is not None and session.incarnation.born == start.run.born:
            session.start_run(start, payload)
        else:
            self._hooks.spawn(
                self._commit_lost_runs((lost_run_end((start.job, start.subtask), start.run),))
            )

    def stop_run(self, key: RunKey, run: Run) -> bool:
        """Stop a run; return False where it is not tracked or is being stopped already."""
        session = self.by_id.get(run.worker)
        tracked = session.runs.get(key) if session is not None else None
        if session is None or tracked is None or tracked.run != run or tracked.is_stopping:
            return False
        session.stop_run(key)
        return True

    def is_paused(self, run: Run) -> bool:
        """Return whether the worker of a run gets no new starts, since one failed just now."""
        session = self.by_id.get(run.worker)
        if session is None or session.incarnation.born != run.born:
            return False
        return not session.accepts_starts

    def stopping_runs(self) -> dict[RunKey, int]:
        """Return for how many ms each run that is being stopped has been so, by its key."""
        now_ms = self._clock.now_ms()
        return {
            key: now_ms - tracked.stop_ordered_ms
            for session in self.by_id.values()
            for key, tracked in session.runs.items()
            if tracked.stop_ordered_ms is not None
        }

    def progress(self, wall_offset_ms: int) -> dict[RunKey, Progress]:
        """Return how far the runs were when their progress last changed.

        `wall_offset_ms` is the wall-clock time less the monotonic clock's.
        """
        return {
            key: Progress(tracked.run, tracked.percent, tracked.last_progress_ms + wall_offset_ms)
            for session in self.by_id.values()
            for key, tracked in session.runs.items()
            if tracked.percent > 0 and not tracked.is_stopping
        }

    def knows_all(self) -> bool:
        """Return whether each worker has answered a poll of this leader, or failed to."""
        return all(session.is_known for session in self.by_id.values())

    def health(self, is_suspect: Callable[[str, int], bool]) -> dict[str, WorkerHealth]:
        """Return each worker's health for the planner, by worker id.

        A session with an earlier incarnation tells nothing about the one in the ledger.
        """
        return {
            incarnation.id: session.health(is_suspect(incarnation.id, incarnation.born))
            for incarnation in self._ledger.workers.values()
            if (session := self.of(incarnation)) is not None
        }

    async def end_lost_runs(self) -> None:
        """Adopt runs that no session tracks, and end those that no worker can report any more.

        These are runs of workers that left or restarted, and all runs of a worker that does not
        answer and whose lease has expired.
        """
        await self._commit_lost_runs(self._adopt_all())
        for session in list(self.by_id.values()):
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

    def on_run_begun(self, key: RunKey, is_adopted: bool) -> None:
        """Handle that a run has begun; an adopted one was ordered by an earlier leader."""
        self._hooks.on_run_begun(key, is_adopted)

    def on_answering_again(self) -> None:
        """Handle that a worker answers again, which must be committed before it gets a lease."""
        self.on_answering()

    def request_planning(self) -> None:
        """Make a new plan soon."""
        self._hooks.request_planning()

    def is_evacuated(self, zone: str) -> bool:
        """Return whether a zone is evacuated now, so that no start order may be sent there."""
        return zone in self._ledger.state.evacuations

    def is_obsolete(self, key: RunKey) -> bool:
        """Return whether a subtask is done or its job is over, so that it must not start."""
        job = self._ledger.jobs.get(key[0])
        subtask = job.subtasks.get(key[1]) if job is not None else None
        return job is None or subtask is None or job.is_over or subtask.is_done

    def may_later_run_begin(self, key: RunKey, run: int) -> bool:
        """Return whether the order of a run later than `run` may still be under way.

        For a member of a gang, this is about the runs of all members.
        """
        job = self._ledger.jobs.get(key[0])
        if job is None or not self._has_later_start(job, key[1], run):
            return False
        is_gang = job.step_of(key[1]).is_gang
        names = job.members(gang_of(key[1])) if is_gang else (key[1],)
        return any(self._may_member_begin(job, name, run) for name in names)

    def held_ends(self) -> set[RunKey]:
        """Return the subtasks that are known to be done, although that is not committed yet."""
        return {key for session in self.by_id.values() for key in session.held_ends()}

    def runs_in(self, zone: str) -> int:
        """Return how many runs are tracked on the workers of a zone."""
        return sum(len(s.runs) for s in self.by_id.values() if s.incarnation.zone == zone)

    def keeps_idle_connections(self) -> bool:
        """Return whether a connection is kept to a worker without runs, for its next order."""
        return len(self.by_id) <= MAX_IDLE_CONNECTIONS

    def poll_wait_ms(self) -> int:
        """Return how long a worker may delay the answer to a poll; longer with more workers."""
        wait_ms = len(self.by_id) * MS_PER_S // MAX_IDLE_POLLS_PER_S
        return min(MAX_POLL_WAIT_MS, max(MIN_POLL_WAIT_MS, wait_ms))

    def contact_slot(self) -> AbstractAsyncContextManager[None]:
        """Return the slot that a poll needs if it is the first or the last one had no answer."""
        return self._contact_slots

    def on_incarnation_replaced(self, incarnation: WorkerIncarnation) -> None:
        """Handle that another worker runs at the address, so this one and its runs have ended."""
        self.on_ended(incarnation, False)

    def on_worker_restarted(self, incarnation: WorkerIncarnation) -> None:
        """Handle that the worker has started again under its id."""
        self.on_ended(incarnation, True)

    async def close(
        self, session: WorkerSession, cause: LossCause, may_have_restarted: bool = False
    ) -> None:
        """Close the session of an incarnation that has ended, and end its runs as lost.

        If the worker may have started again under its id, runs that may have begun on the new
        incarnation go on until the session with that one, or the time, shows that they have ended.
        """
        ends = session.ends_as_lost(cause, may_have_restarted)
        now_ms = self._clock.now_ms()
        self._held_until_ms |= {((end.job, end.subtask), end.run): now_ms for end in ends}
        self.by_id.pop(session.incarnation.id, None)
        await session.close()
        await self._commit_lost_runs(ends)

    async def _commit_lost_runs(self, ends: tuple[commands.RunEnded, ...]) -> None:
        if not ends or not await self._hooks.commit_run_ends(ends):
            return
        for end in ends:
            session = self.by_id.get(end.run.worker)
            if session is not None:
                session.forget((end.job, end.subtask), end.run)

    def _open_session(
        self, incarnation: WorkerIncarnation, earlier_leases_until_ms: int, reported_ms: int | None
    ) -> None:
        lease = Lease(
            self._lease_ms, earlier_leases_until_ms, self._max_start_ms, self._max_lease_ms
        )
        reports = ReportAge(self._max_report_age_ms, reported_ms)
        session = WorkerSession(
            incarnation, self._make_port(incarnation), self, self._clock, lease, reports
        )
        session.grants_leases = not self._ledger.is_silent(incarnation)
        self.by_id[incarnation.id] = session

    def _has_later_start(self, job: Job, name: str, run: int) -> bool:
        """Return whether a later run was started in a subtask's step, or is being started at all.

        This spares most ends the look at all members of a gang.
        """
        gang = job.gangs.get(gang_of(name))
        return bool(self._committing_starts) or (gang is not None and gang.last_run > run)

    def _may_member_begin(self, job: Job, name: str, after: int) -> bool:
        key = (job.id, name)
        if key in self._committing_starts:
            return True
        subtask = job.subtasks.get(name)
        run = subtask.active if subtask is not None else None
        return run is not None and run.number > after and not self._has_begun(key, run)

    def _has_begun(self, key: RunKey, run: Run) -> bool:
        """Return whether a run is known to have begun."""
        session = self.by_id.get(run.worker)
        tracked = session.runs.get(key) if session is not None else None
        return tracked is not None and tracked.run == run and tracked.phase is Phase.CONFIRMED

    def _workers_with_runs_first(self) -> list[WorkerIncarnation]:
        """Return the workers in the order in which a new leader contacts them."""
        with_runs = {run.worker for run in self._ledger.active_runs.by_key.values()}
        return sorted(self._ledger.workers.values(), key=lambda each: each.id not in with_runs)

    def _adopt_all(self) -> tuple[commands.RunEnded, ...]:
        """Have a session track each active run; return ends for runs that cannot go on any more.

        A run can be in the ledger although no order was sent: the outcome of committing its start
        was unknown to the leader that proposed it. The order of a run of an earlier incarnation may
        have reached the worker's newest one, which the session with that one finds out. Without a
        session it goes on for as long as a lease can last.
        """
        lost = []
        now_ms = self._clock.now_ms()
        held_until_ms: dict[tuple[RunKey, Run], int] = {}
        for key, run in self._ledger.active_runs.by_key.items():
            if key in self._committing_starts:
                continue
            session = self.by_id.get(run.worker)
            if session is not None:
                session.adopt(key, run)
                continue
            latest_ms = now_ms + max_local_ms(self._max_lease_ms)
            until_ms = self._held_until_ms.get((key, run), latest_ms)
            held_until_ms[key, run] = until_ms
            if now_ms >= until_ms:
                lost.append(lost_run_end(key, run))
        self._held_until_ms = held_until_ms
        return tuple(lost)


async def close_all(sessions: Sequence[WorkerSession]) -> None:
    """Close sessions, one after the other."""
    for session in sessions:
        await session.close()
