"""The leader's dealings with one life of one worker.

A session holds what the worker was told and what it told. One loop asks for the worker's lists as
long as anything runs there or an end is not yet forgotten, and each time extends the lease. A start
without a clear answer is asked again; where that fails too, the fencing token is raised and the
next lists settle it: a run that is not listed under the higher token can never begin.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from agateferry_core.clock import MS_PER_S, Clock
from agateferry_core.logs import EventLogger
from agateferry_jobs import metrics
from agateferry_jobs.ledger import Run, WorkerIncarnation
from agateferry_jobs.ledger.commands import RunEnded, RunOutcome, RunStart
from agateferry_jobs.planning.fleet import RunKey, WorkerHealth
from agateferry_jobs.workers import events
from agateferry_jobs.workers.lease import Lease
from agateferry_jobs.workers.port import (
    Confirmed,
    FinishedRun,
    IncarnationMismatch,
    NoAnswer,
    PollOrder,
    Rejected,
    RunLists,
    StartOrder,
    StopOrder,
    WorkerPort,
)

ORDER_TIMEOUT_MS = 500
"""A worker answers an order in a few ms; what takes longer is asked again on a new connection."""
START_TRIES = 2
WAIT_MS = 1000
"""How long a worker may hold its lists back while no run ends."""
ANSWER_SLACK_MS = 700
"""What an answer may take beyond the wait that was asked for."""
RETRY_MS = 200
"""The pause after a call that failed."""
STOP_AGAIN_MS = 600
"""A stop that has not shown in the lists is ordered again after this."""
HEARTBEAT_SILENCE_MS = 5000
"""A worker of which nothing was heard for three heartbeats gets no new work."""


class Phase(Enum):
    """How much is known of a run."""

    ORDERED = auto()
    CONFIRMED = auto()
    UNCERTAIN = auto()


@dataclass(slots=True)
class TrackedRun:
    """A run that the ledger places here."""

    run: Run
    phase: Phase
    known_at: int
    """The number of the last look that was sent before the phase was reached."""
    is_stopping: bool = False
    stop_sent_ms: int | None = None
    percent: float = -1.0
    moved_ms: int = 0
    checkpoint: str = ""


class SessionListener(Protocol):
    """What a session tells its leader."""

    def next_token(self) -> int:
        """Return a fencing token above all that were given out before."""

    def may_order(self) -> bool:
        """Tell whether orders may go out now."""

    async def store_ends(self, ends: tuple[RunEnded, ...]) -> bool:
        """Store ends; False where that did not succeed."""

    def on_incarnation_replaced(self, incarnation: WorkerIncarnation) -> None:
        """Hear that this life is over."""

    def request_planning(self) -> None:
        """Hear that a plan may come out differently now."""


class WorkerSession:
    """Talk to one life of one worker as long as this host leads."""

    def __init__(
        self,
        incarnation: WorkerIncarnation,
        port: WorkerPort,
        listener: SessionListener,
        clock: Clock,
        lease: Lease,
    ) -> None:
        self.incarnation = incarnation
        self.runs: dict[RunKey, TrackedRun] = {}
        self.strays: dict[RunKey, int] = {}
        self.heard_ms = clock.now_ms()
        self._port = port
        self._listener = listener
        self._clock = clock
        self._lease = lease
        self._token = listener.next_token()
        self._poll_number = 0
        self._is_contacted = False
        self._is_failing = False
        self._clock_seen = -1
        self._cursor = 0
        self._told_cursor = 0
        self._wake = asyncio.Event()
        self._log = EventLogger(worker=incarnation.id, born=incarnation.born)
        self._tasks: set[asyncio.Task[None]] = set()
        self._spawn(self._run())

    def health(self, is_suspect: bool) -> WorkerHealth:
        """Return what the planner needs to know."""
        silent_ms = self._clock.now_ms() - self.heard_ms
        answers = self._is_contacted and not self._is_failing and silent_ms < HEARTBEAT_SILENCE_MS
        return WorkerHealth(answers, is_suspect, tuple(self.strays))

    def adopt(self, key: RunKey, run: Run) -> None:
        """Take over a run that may have been ordered, unless it is looked after already."""
        tracked = self.runs.get(key)
        if tracked is not None and tracked.run == run:
            return
        self.runs[key] = TrackedRun(
            run, Phase.UNCERTAIN, self._poll_number, moved_ms=self._clock.now_ms()
        )
        self._wake.set()

    def start(self, start: RunStart, payload: str) -> None:
        """Order a run whose intent is stored."""
        tracked = TrackedRun(
            start.run, Phase.ORDERED, self._poll_number, moved_ms=self._clock.now_ms()
        )
        self.runs[(start.job, start.subtask)] = tracked
        self._spawn(self._order_start(start, payload, tracked))

    def stop_run(self, key: RunKey) -> None:
        """Have a run stopped, as often as it takes."""
        tracked = self.runs.get(key)
        if tracked is not None and not tracked.is_stopping:
            tracked.is_stopping = True
            self._spawn(self._order_stop(key, tracked.run.number, tracked))

    def record_heartbeat(self) -> None:
        """Hear that the worker is alive."""
        self.heard_ms = self._clock.now_ms()

    def is_lease_over(self) -> bool:
        """Tell whether nothing that was ordered can still run."""
        return self._lease.is_over(self._clock.now_ms())

    def lose_all(self) -> tuple[RunEnded, ...]:
        """Return the ends of all runs here, which are over without a word of the worker."""
        return tuple(_end(key, t, RunOutcome.LOST) for key, t in self.runs.items())

    def forget(self, key: RunKey, run: Run) -> None:
        """Drop a run whose end is stored."""
        tracked = self.runs.get(key)
        if tracked is not None and tracked.run == run:
            del self.runs[key]

    async def close(self) -> None:
        """Stop talking to the worker."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._port.close()

    def _spawn(self, coro: "asyncio.Future[None] | object") -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coro)  # type: ignore
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self) -> None:
        while True:
            if not self._needs_poll():
                self._wake.clear()
                await self._wake.wait()
                continue
            if not self._listener.may_order():
                await asyncio.sleep(RETRY_MS / MS_PER_S)
                continue
            if not await self._poll_once():
                await asyncio.sleep(RETRY_MS / MS_PER_S)

    def _needs_poll(self) -> bool:
        is_owed = bool(self.runs or self.strays) or self._cursor > self._told_cursor
        return is_owed or not self._is_contacted or self._is_failing

    async def _poll_once(self) -> bool:
        now_ms = self._clock.now_ms()
        is_urgent = not self._is_contacted or bool(self.strays)
        is_urgent |= any(t.phase is Phase.UNCERTAIN for t in self.runs.values())
        wait_ms = 0 if is_urgent or not self.runs else WAIT_MS
        deadline_ms = self._next_deadline(now_ms)
        cursor = self._cursor
        self._poll_number += 1
        poll_number, token = self._poll_number, self._token
        order = PollOrder(deadline_ms, token, cursor, wait_ms)
        answer = await self._port.poll(order, wait_ms + ANSWER_SLACK_MS)
        metrics.POLLS.labels(answer.label).inc()
        match answer:
            case RunLists():
                self._told_cursor = max(self._told_cursor, cursor)
                return await self._take_lists(answer, poll_number)
            case IncarnationMismatch():
                self._listener.on_incarnation_replaced(self.incarnation)
                return False
            case Rejected(reason="fence"):
                self._token = self._listener.next_token()
                return False
            case _:
                self._note_failing(str(answer))
                return False

    def _next_deadline(self, now_ms: int) -> int | None:
        """Return the deadline to give; a silent worker gets none, so that its lease can end."""
        if not self.runs or self._is_failing:
            return None
        return self._lease.next_deadline(now_ms)

    def _note_failing(self, detail: str) -> None:
        if not self._is_failing:
            self._log.warning(events.WORKER_SILENT, detail=detail, runs=len(self.runs))
            self._is_failing = True
            self._listener.request_planning()

    def _note_answering(self, clock_ms: int | None) -> None:
        now_ms = self._clock.now_ms()
        self.heard_ms = now_ms
        if clock_ms is not None:
            self._lease.read_clock(clock_ms, now_ms)
        if self._is_failing:
            self._log.info(events.WORKER_ANSWERS)
            self._is_failing = False
            for tracked in self.runs.values():
                tracked.moved_ms = now_ms
            self._listener.request_planning()

    async def _take_lists(self, lists: RunLists, poll_number: int) -> bool:
        if lists.born is not None and lists.born != self.incarnation.born:
            self._listener.on_incarnation_replaced(self.incarnation)
            return False
        if lists.clock_ms < self._clock_seen:
            return True
        self._clock_seen = lists.clock_ms
        self._note_answering(lists.clock_ms)
        if not self._is_contacted:
            self._is_contacted = True
            self._listener.request_planning()
        ends = self._ends_told(lists)
        self._note_running(lists)
        ends += self._ends_concluded(lists, poll_number)
        return await self._store(lists, ends)

    async def _store(self, lists: RunLists, ends: list[RunEnded]) -> bool:
        if ends and not await self._listener.store_ends(tuple(ends)):
            return False
        for end in ends:
            self.forget((end.job, end.subtask), end.run)
        newest = max((f.number for f in lists.finished), default=0)
        self._cursor = max(self._cursor, newest)
        return True

    def _ends_told(self, lists: RunLists) -> list[RunEnded]:
        ends = []
        for finished in lists.finished:
            if finished.number > self._cursor:
                ends.append(self._end_of(finished))
        return ends

    def _end_of(self, finished: FinishedRun) -> RunEnded:
        run = Run(finished.run, self.incarnation.id, self.incarnation.born)
        job, subtask = finished.key
        return RunEnded(job, subtask, run, RunOutcome(finished.outcome), finished.checkpoint)

    def _note_running(self, lists: RunLists) -> None:
        self.strays.clear()
        now_ms = self._clock.now_ms()
        for each in lists.running:
            tracked = self.runs.get(each.key)
            if tracked is None or tracked.run.number != each.run:
                self.strays[each.key] = each.run
                self._spawn(self._order_stop(each.key, each.run, None))
                continue
            if each.percent != tracked.percent:
                tracked.percent = each.percent
                tracked.moved_ms = now_ms
            tracked.checkpoint = each.checkpoint or tracked.checkpoint
            if tracked.phase is Phase.UNCERTAIN:
                tracked.phase = Phase.CONFIRMED
                tracked.known_at = self._poll_number
            if tracked.is_stopping and _is_due(tracked.stop_sent_ms, now_ms):
                self._spawn(self._order_stop(each.key, each.run, tracked))

    def _ends_concluded(self, lists: RunLists, poll_number: int) -> list[RunEnded]:
        """Return the ends of runs that should be listed and are not."""
        listed = {(each.key, each.run) for each in lists.running}
        listed |= {(each.key, each.run) for each in lists.finished}
        ends = []
        for key, tracked in self.runs.items():
            if (key, tracked.run.number) in listed or tracked.known_at >= poll_number:
                continue
            if tracked.phase is Phase.UNCERTAIN:
                ends.append(_end(key, tracked, RunOutcome.REFUSED))
            elif tracked.phase is Phase.CONFIRMED:
                ends.append(_end(key, tracked, RunOutcome.LOST))
        return ends

    async def _order_start(self, start: RunStart, payload: str, tracked: TrackedRun) -> None:
        key = (start.job, start.subtask)
        token = self._token
        for attempt in range(START_TRIES):
            deadline_ms = self._lease.next_deadline(self._clock.now_ms())
            if deadline_ms is None or not self._listener.may_order():
                break
            order = StartOrder(key, start.run.number, payload, deadline_ms, token, start.checkpoint)
            answer = await self._port.start(order, ORDER_TIMEOUT_MS)
            match answer:
                case Confirmed(clock_ms):
                    self._note_answering(clock_ms)
                    tracked.phase = Phase.CONFIRMED
                    tracked.known_at = self._poll_number
                    self._wake.set()
                    return
                case Rejected(reason) if attempt == 0:
                    metrics.STARTS_UNCLEAR.labels(reason).inc()
                    self._log.warning(
                        events.START_REJECTED, job=key[0], subtask=key[1], reason=reason
                    )
                    await self._refuse(key, tracked)
                    return
                case _:
                    metrics.STARTS_UNCLEAR.labels(answer.label).inc()
                    self._log.warning(
                        events.START_UNCERTAIN, job=key[0], subtask=key[1], detail=str(answer)
                    )
        self._mark_uncertain(tracked)

    async def _refuse(self, key: RunKey, tracked: TrackedRun) -> None:
        if await self._listener.store_ends((_end(key, tracked, RunOutcome.REFUSED),)):
            self.forget(key, tracked.run)
        else:
            self._mark_uncertain(tracked)

    def _mark_uncertain(self, tracked: TrackedRun) -> None:
        """Leave a run to the next lists, under a token that refuses its order from now on."""
        self._token = self._listener.next_token()
        tracked.phase = Phase.UNCERTAIN
        tracked.known_at = self._poll_number
        self._wake.set()

    async def _order_stop(self, key: RunKey, run: int, tracked: TrackedRun | None) -> None:
        if not self._listener.may_order():
            return
        if tracked is not None:
            tracked.stop_sent_ms = self._clock.now_ms()
        self._wake.set()
        answer = await self._port.stop(StopOrder(key, run, self._token), ORDER_TIMEOUT_MS)
        if isinstance(answer, NoAnswer | Rejected):
            self._log.warning(events.STOP_UNCERTAIN, job=key[0], subtask=key[1], detail=str(answer))


def _is_due(sent_ms: int | None, now_ms: int) -> bool:
    return sent_ms is None or now_ms - sent_ms >= STOP_AGAIN_MS


def _end(key: RunKey, tracked: TrackedRun, outcome: RunOutcome) -> RunEnded:
    return RunEnded(key[0], key[1], tracked.run, outcome, tracked.checkpoint)


PortFactory = Callable[[WorkerIncarnation], WorkerPort]
