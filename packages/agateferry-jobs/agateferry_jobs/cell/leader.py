"""What the leader does: it answers calls, plans, orders and takes in how runs end."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from expression import Result

from agateferry_core.clock import MS_PER_S, Clock
from agateferry_core.logs import EventLogger
from agateferry_jobs import metrics
from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.cell.callers import Callers
from agateferry_jobs.cell.proposing import Proposer
from agateferry_jobs.cell.suspects import SuspectWorkers
from agateferry_jobs.cell.worker_registry import WorkerRegistry
from agateferry_jobs.ledger import Ledger, Run, commands
from agateferry_jobs.planning import Fleet, Plan, Planner
from agateferry_jobs.planning.fleet import RunKey
from agateferry_jobs.workers.session import Phase, PortFactory, TrackedRun
from agateferry_state.replica.protocols import Replica

TICK_MS = 250
"""How often what depends on time alone is looked at."""
PLAN_REST = 4
"""How many times the length of a plan its leader leaves to other work before the next one."""
HUNG_MS = 4_000
"""A run whose progress stood still for this long is taken for hung; a slow one moves in less."""


class Leader:
    """Run the cell while this host leads it."""

    def __init__(
        self, replica: Replica, ledger: Ledger, clock: Clock, make_port: PortFactory, lease_ms: int
    ) -> None:
        self._replica = replica
        self._ledger = ledger
        self._clock = clock
        self._log = EventLogger()
        self._proposer = Proposer(replica)
        self._suspects = SuspectWorkers()
        self._registry = WorkerRegistry(ledger, clock, make_port, lease_ms, self, self._proposer)
        self._callers = Callers(ledger, self._proposer, self.request_planning)
        self._wall_offset_ms = 0
        self._tokens = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._ticker: asyncio.Task[None] | None = None
        self._is_planning = False
        self._is_plan_due = False
        self._has_planner = False
        replica.on_leadership(self._on_leadership)

    @property
    def now_ms(self) -> int:
        """Return the time of day in ms, by an offset that stays the same while this host leads."""
        return self._clock.now_ms() + self._wall_offset_ms

    async def handle(self, call: messages.Call) -> messages.Reply:
        """Answer one call; nothing is answered on knowledge that may be out of date."""
        if not self._replica.is_leader:
            return messages.NotLeader(self._replica.leader)
        reply = await self._answer(call)
        if not self._replica.is_leader and not isinstance(reply, messages.OutcomeUnknown):
            reply = messages.OutcomeUnknown("leadership lapsed before the answer")
        metrics.REPLIES.labels(call.label, reply.label).inc()
        if isinstance(reply, messages.Refused):
            metrics.REFUSALS.labels(reply.reason).inc()
        return reply

    async def close(self) -> None:
        """Stop leading."""
        self._stop()
        await self._registry.clear()

    async def _answer(self, call: messages.Call) -> messages.Reply:
        match call:
            case messages.Submit():
                return await self._callers.submit(call, self.now_ms)
            case messages.GetStatus():
                return self._callers.get_status(call)
            case messages.Cancel():
                return await self._callers.cancel(call, self.now_ms)
            case messages.Heartbeat():
                return await self._registry.on_heartbeat(call)
            case messages.Deregister(worker):
                return await self._registry.on_deregister(worker)
            case messages.InstallManifest(manifest):
                return await self._callers.install(manifest)
            case messages.ReadManifest():
                return self._callers.read_manifest()
            case messages.Ping():
                return messages.Done()

    def next_token(self) -> int:
        """Return a fencing token above all that this or an earlier leader gave out."""
        self._tokens += 1
        return (self._replica.term << 20) + self._tokens

    def may_order(self) -> bool:
        """Tell whether orders may go out now."""
        return self._replica.is_leader

    async def store_ends(self, ends: tuple[commands.RunEnded, ...]) -> bool:
        """Store how runs ended and plan anew."""
        at_ms = self.now_ms
        outcome = await self._proposer.propose(commands.EndRuns(ends, at_ms))
        if outcome.is_error():
            return False
        for end in outcome.ok:
            self._note_end(end)
        for id in {end.job for end in outcome.ok}:
            self._note_job_over(id, at_ms)
        self.request_planning()
        return True

    def request_planning(self) -> None:
        """Plan soon."""
        self._is_plan_due = True
        if not self._has_planner and self._ticker is not None:
            self._has_planner = True
            self.spawn(self._plan_all())

    def _on_leadership(self, leads: bool, term: int) -> None:
        if not leads:
            self._log.info(events.NOT_LEADING, term=term)
            self._stop()
            self.spawn(self._registry.clear())
            return
        self._log.info(events.LEADING, term=term, jobs=len(self._ledger.jobs))
        self._tokens = 0
        self._wall_offset_ms = self._clock.wall_ms() - self._clock.now_ms()
        self._registry.fill()
        self._ticker = asyncio.get_running_loop().create_task(self._tick())
        self.request_planning()

    def _stop(self) -> None:
        if self._ticker is not None:
            self._ticker.cancel()
            self._ticker = None

    def spawn(self, coro: Coroutine[Any, Any, Any]) -> None:
        """Run a task; an exception in it is logged."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error(events.TASK_FAILED, detail=repr(task.exception()))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / MS_PER_S)
            if not self._replica.is_leader:
                continue
            if not self._is_planning:
                await self._registry.settle()
            self._stop_hung()
            self.request_planning()

    async def _plan_all(self) -> None:
        """Plan while something changed, with rests, so that many changes share one plan."""
        try:
            while self._is_plan_due and self._replica.is_leader:
                self._is_plan_due = False
                self._is_planning = True
                began_ms = self._clock.now_ms()
                plan = self._make_plan()
                took_ms = self._clock.now_ms() - began_ms
                await self._carry_out(plan)
                self._is_planning = False
                await asyncio.sleep(PLAN_REST * took_ms / MS_PER_S)
        finally:
            self._is_planning = False
            self._has_planner = False

    def _make_plan(self) -> Plan:
        self._stop_unwanted()
        fleet = Fleet.from_ledger(
            self._ledger, self._registry.health(self._is_suspect), self._registry.stopping()
        )
        return Planner(self._ledger, fleet, self.now_ms).plan()

    async def _carry_out(self, plan: Plan) -> None:
        for stop in plan.stops:
            self._stop_run(stop.key, stop.run, "room", for_job=stop.for_job, for_rank=stop.for_rank)
        if not plan.starts:
            return
        outcome: Result[Any, Any] = await self._proposer.propose(
            commands.StartRuns(tuple(plan.starts), self.now_ms)
        )
        if outcome.is_error() or not self._replica.is_leader:
            return
        for start in outcome.ok:
            self._log.info(
                events.RUN_STARTED,
                job=start.job,
                subtask=start.subtask,
                run=start.run.number,
                worker=start.run.worker,
            )
            job = self._ledger.jobs.get(start.job)
            self._note_first_start(start)
            self._registry.start(start, job.spec.payload if job is not None else "")

    def _note_first_start(self, start: commands.RunStart) -> None:
        job = self._ledger.jobs.get(start.job)
        if job is not None and start.subtask == "0.0.0" and start.run.number == 1:
            waited_s = (self.now_ms - job.accepted_ms) / MS_PER_S
            metrics.FIRST_START_SECONDS.labels(str(job.priority)).observe(waited_s)

    def _stop_unwanted(self) -> None:
        """Stop what runs for jobs that are over, and what is left of gangs that broke."""
        for job in self._ledger.jobs.values():
            for name, subtask in job.subtasks.items():
                if subtask.active is None or subtask.is_done:
                    continue
                if job.is_over:
                    self._stop_run((job.id, name), subtask.active, "job is over")
                elif job.is_gang_broken(name):
                    self._stop_run((job.id, name), subtask.active, "gang is not whole")

    def _stop_hung(self) -> None:
        now_ms = self._clock.now_ms()
        for session in self._registry.sessions.values():
            if not session.health(False).answers:
                continue
            for key, tracked in list(session.runs.items()):
                if not _is_hung(tracked, now_ms) or self._is_long_running(key):
                    continue
                run = tracked.run
                if self._suspects.note_failed(run.worker, run.born, key[0], now_ms, weight=2):
                    self._log.warning(events.WORKER_SUSPECT, worker=run.worker, reason="hung run")
                self._stop_run(key, run, "no progress")

    def _is_long_running(self, key: RunKey) -> bool:
        job = self._ledger.jobs.get(key[0])
        return job is None or job.step_of(key[1]).is_long_running

    def _stop_run(self, key: RunKey, run: Run, reason: str, **inputs: str | int) -> None:
        if self._registry.stop(key, run):
            metrics.RUNS_STOPPED.labels(reason).inc()
            self._log.info(
                events.RUN_STOPPING,
                job=key[0],
                subtask=key[1],
                run=run.number,
                reason=reason,
                **inputs,
            )

    def _is_suspect(self, worker: str, born: int) -> bool:
        return self._suspects.is_suspect(worker, born, self._clock.now_ms())

    def _note_end(self, end: commands.RunEnded) -> None:
        run = end.run
        self._log.info(
            events.RUN_ENDED,
            job=end.job,
            subtask=end.subtask,
            run=run.number,
            worker=run.worker,
            how=end.outcome,
        )
        metrics.RUNS_ENDED.labels(end.outcome.value).inc()
        if end.outcome is commands.RunOutcome.DONE:
            self._suspects.note_done(run.worker, run.born)
        elif end.outcome is commands.RunOutcome.FAILED:
            now_ms = self._clock.now_ms()
            if self._suspects.note_failed(run.worker, run.born, end.job, now_ms):
                self._log.warning(events.WORKER_SUSPECT, worker=run.worker, reason="failed runs")

    def _note_job_over(self, id: str, at_ms: int) -> None:
        """Log a job that these ends completed or failed."""
        job = self._ledger.jobs.get(id)
        if job is not None and job.is_over and job.ended_ms == at_ms:
            metrics.ENDED.labels(job.state.value).inc()
            self._log.info(events.JOB_ENDED, job=job.id, state=job.state)


def _is_hung(tracked: TrackedRun, now_ms: int) -> bool:
    is_at_work = tracked.phase is Phase.CONFIRMED and not tracked.is_stopping
    return is_at_work and tracked.percent < 100 and now_ms - tracked.moved_ms > HUNG_MS
