"""The workers that the leader knows, and one session for the life of each."""

from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from agateferry_core.clock import Clock
from agateferry_core.logs import EventLogger
from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.cell.proposing import Proposer, reply_for
from agateferry_jobs.ledger import Ledger, Run, WorkerIncarnation, WorkerState, commands
from agateferry_jobs.planning import WorkerHealth
from agateferry_jobs.planning.fleet import RunKey
from agateferry_jobs.workers.lease import Lease, longest_local_ms
from agateferry_jobs.workers.session import PortFactory, SessionListener, WorkerSession


class LeaderHooks(Protocol):
    """What the worker registry asks of the leader."""

    def next_token(self) -> int:
        """Return a fencing token above all before."""

    def may_order(self) -> bool:
        """Tell whether orders may go out now."""

    async def store_ends(self, ends: tuple[commands.RunEnded, ...]) -> bool:
        """Store ends."""

    def request_planning(self) -> None:
        """Plan soon."""

    def spawn(self, coro: Coroutine[Any, Any, Any]) -> None:
        """Run a task that is watched."""


class WorkerRegistry(SessionListener):
    """Open a session for each life that the ledger holds, and close it when the life is over."""

    def __init__(
        self,
        ledger: Ledger,
        clock: Clock,
        make_port: PortFactory,
        lease_ms: int,
        hooks: LeaderHooks,
        proposer: Proposer,
    ) -> None:
        self.sessions: dict[str, WorkerSession] = {}
        self._ledger = ledger
        self._clock = clock
        self._make_port = make_port
        self._lease_ms = lease_ms
        self._hooks = hooks
        self._proposer = proposer
        self._sequences: dict[tuple[str, int], int] = {}
        self._log = EventLogger()

    def fill(self) -> None:
        """Open the sessions of all lives in the ledger and adopt what may run there."""
        unknown_until_ms = self._clock.now_ms() + longest_local_ms(self._lease_ms)
        for incarnation in self._ledger.workers.values():
            self._open(incarnation, unknown_until_ms)
        lost = self._adopt_all()
        if lost:
            self._hooks.spawn(self._lose(lost))

    async def clear(self) -> None:
        """Close all sessions."""
        sessions, self.sessions = self.sessions, {}
        for session in sessions.values():
            await session.close()

    async def on_heartbeat(self, heartbeat: messages.Heartbeat) -> messages.Reply:
        """Take in what a worker says of itself; an answer says that it is stored."""
        incarnation = heartbeat.worker
        key = (incarnation.id, incarnation.born)
        if heartbeat.sequence < self._sequences.get(key, -1):
            return messages.Done()
        known = self._ledger.workers.get(incarnation.id)
        if known != incarnation and not self._is_outdated(incarnation):
            outcome = await self._proposer.propose(commands.NoteWorker(incarnation))
            if outcome.is_error():
                return reply_for(outcome.error)
            if outcome.ok:
                self._log.info(
                    events.WORKER_NOTED,
                    worker=incarnation.id,
                    born=incarnation.born,
                    state=incarnation.state,
                    rack=incarnation.rack,
                )
                await self._renew(incarnation)
        self._sequences[key] = heartbeat.sequence
        session = self.sessions.get(incarnation.id)
        if session is not None and session.incarnation.born == incarnation.born:
            session.record_heartbeat()
        return messages.Done()

    async def on_deregister(self, worker: str) -> messages.Reply:
        """Take in that a worker ends; what ran there is over."""
        incarnation = self._ledger.workers.get(worker)
        if incarnation is not None and not await self._remove(incarnation):
            return messages.OutcomeUnknown("not stored")
        return messages.Done()

    def start(self, start: commands.RunStart, payload: str) -> None:
        """Order a run whose intent is stored."""
        session = self.sessions.get(start.run.worker)
        if session is not None and session.incarnation.born == start.run.born:
            session.start(start, payload)
        else:
            self._hooks.spawn(self._lose((_lost((start.job, start.subtask), start.run),)))

    def stop(self, key: RunKey, run: Run) -> bool:
        """Have a run stopped; tell whether that is news."""
        session = self.sessions.get(run.worker)
        tracked = session.runs.get(key) if session is not None else None
        if session is None or tracked is None or tracked.run != run or tracked.is_stopping:
            return False
        session.stop_run(key)
        return True

    def stopping(self) -> set[RunKey]:
        """Return the runs that are being stopped."""
        return {
            key
            for session in self.sessions.values()
            for key, tracked in session.runs.items()
            if tracked.is_stopping
        }

    def health(self, is_suspect: Callable[[str, int], bool]) -> dict[str, WorkerHealth]:
        """Return what the planner needs to know of each worker."""
        return {
            id: session.health(is_suspect(id, session.incarnation.born))
            for id, session in self.sessions.items()
        }

    async def settle(self) -> None:
        """Conclude runs that no worker can tell of, and take over those that nobody looks after."""
        await self._lose(self._adopt_all())
        for session in list(self.sessions.values()):
            is_silent = not session.health(False).answers
            if session.runs and is_silent and session.is_lease_over():
                await self._lose(session.lose_all())

    def next_token(self) -> int:
        """Return a fencing token above all before."""
        return self._hooks.next_token()

    def may_order(self) -> bool:
        """Tell whether orders may go out now."""
        return self._hooks.may_order()

    async def store_ends(self, ends: tuple[commands.RunEnded, ...]) -> bool:
        """Store ends."""
        return await self._hooks.store_ends(ends)

    def request_planning(self) -> None:
        """Plan soon."""
        self._hooks.request_planning()

    def on_incarnation_replaced(self, incarnation: WorkerIncarnation) -> None:
        """Conclude the runs of a life that is over; its successor makes itself known."""
        self._hooks.spawn(self._remove(incarnation))

    def _is_outdated(self, incarnation: WorkerIncarnation) -> bool:
        """Tell whether a younger life is known at the same address."""
        return any(
            other.address == incarnation.address and other.born > incarnation.born
            for other in self._ledger.workers.values()
        )

    async def _renew(self, incarnation: WorkerIncarnation) -> None:
        """Open a session for a new life and conclude the lives that it follows."""
        session = self.sessions.get(incarnation.id)
        if session is not None and session.incarnation.born == incarnation.born:
            session.incarnation = incarnation
            self.request_planning()
            return
        if session is not None:
            await self._close(session)
        for other in list(self._ledger.workers.values()):
            if other.address == incarnation.address and other.born < incarnation.born:
                await self._remove(other)
        self._open(incarnation, unknown_until_ms=0)

    async def _remove(self, incarnation: WorkerIncarnation) -> bool:
        gone = WorkerIncarnation(
            incarnation.id,
            incarnation.born,
            incarnation.service,
            incarnation.address,
            incarnation.zone,
            incarnation.capacity,
            state=WorkerState.GONE,
        )
        outcome = await self._proposer.propose(commands.NoteWorker(gone))
        if outcome.is_error():
            return False
        self._log.info(events.WORKER_GONE, worker=incarnation.id, born=incarnation.born)
        session = self.sessions.get(incarnation.id)
        if session is not None and session.incarnation.born == incarnation.born:
            await self._close(session)
        return True

    async def _close(self, session: WorkerSession) -> None:
        ends = session.lose_all()
        self.sessions.pop(session.incarnation.id, None)
        await session.close()
        await self._lose(ends)

    async def _lose(self, ends: tuple[commands.RunEnded, ...]) -> None:
        if not ends or not await self._hooks.store_ends(ends):
            return
        for end in ends:
            session = self.sessions.get(end.run.worker)
            if session is not None:
                session.forget((end.job, end.subtask), end.run)

    def _open(self, incarnation: WorkerIncarnation, unknown_until_ms: int) -> None:
        lease = Lease(self._lease_ms, unknown_until_ms)
        self.sessions[incarnation.id] = WorkerSession(
            incarnation, self._make_port(incarnation), self, self._clock, lease
        )

    def _adopt_all(self) -> tuple[commands.RunEnded, ...]:
        """Have each run of the ledger looked after; return those whose worker's life is over.

        A start whose storing had no clear outcome is in the ledger without ever being ordered.
        """
        lost = []
        for job in self._ledger.jobs.values():
            for name, subtask in job.subtasks.items():
                run = subtask.active
                if run is None:
                    continue
                session = self.sessions.get(run.worker)
                if session is None or session.incarnation.born != run.born:
                    lost.append(_lost((job.id, name), run))
                else:
                    session.adopt((job.id, name), run)
        return tuple(lost)


def _lost(key: RunKey, run: Run) -> commands.RunEnded:
    return commands.RunEnded(key[0], key[1], run, commands.RunOutcome.LOST)
