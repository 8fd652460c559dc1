"""The leader of the cell: it handles calls, plans, sends orders to workers and commits run ends."""

import asyncio
from collections.abc import Coroutine, Mapping
from typing import Any

from expression import Result

from agateferry_core.clock import Clock
from agateferry_core.logs import EventLogger
from agateferry_core.tasks import repeat, spawn
from agateferry_jobs import metrics
from agateferry_jobs.backoff import Backoff
from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.cell.begun_jobs import BegunJobs
from agateferry_jobs.cell.call_handler import CallHandler
from agateferry_jobs.cell.evacuations import ZoneEvacuations
from agateferry_jobs.cell.guilty_jobs import GuiltyJobs
from agateferry_jobs.cell.job_admission import JobAdmission, max_job_bytes
from agateferry_jobs.cell.job_log import JobLog
from agateferry_jobs.cell.plan_loop import PlanLoop
from agateferry_jobs.cell.proposing import Proposer
from agateferry_jobs.cell.run_stops import RunStops
from agateferry_jobs.cell.silences import WorkerSilences
from agateferry_jobs.cell.suspects import SuspectWorkers
from agateferry_jobs.cell.urgent_starts import UrgentStarts
from agateferry_jobs.cell.waiting_jobs import WaitingJobs
from agateferry_jobs.cell.worker_paces import WorkerPaces
from agateferry_jobs.cell.worker_registry import WorkerRegistry
from agateferry_jobs.cell.worker_sessions import WorkerSessions, close_all
from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.ledger.state import RunKey
from agateferry_jobs.planning import Fleet, Plan, Planner
from agateferry_jobs.planning.idle_jobs import IdleTimes
from agateferry_jobs.planning.plan_limits import PlanLimits, Steps
from agateferry_jobs.planning.plan_memory import PlanMemory
from agateferry_jobs.start_budget import DEFAULT_BUDGET, StartBudget
from agateferry_jobs.workers.session import PortFactory
from agateferry_state.replica.protocols import Replica

TICK_MS = 250
"""Interval of checks that depend on time alone: expired leases, hung runs, scheduled starts."""
REFUSAL_DELAY_MS = 20
MAX_REFUSAL_DELAY_MS = 2_000
"""The limits of how long a subtask whose start was refused waits; the delay doubles."""
TAKEOVER_WAIT_MS = 300
"""How long a new leader waits for the first answers of all workers before it plans.

Workers answer within a few ms; one that is cut off must not delay urgent work for longer.
"""


class Leader:
    """Manage the cell's jobs and workers while this host leads the replicated log."""

    def __init__(
        self,
        replica: Replica,
        ledger: Ledger,
        clock: Clock,
        make_port: PortFactory,
        lease_ms: int,
        max_report_age_ms: int | None = None,
        max_start_ms: int | None = None,
        zone_regions: Mapping[str, str] | None = None,
        max_lease_ms: int | None = None,
        start_budget: StartBudget = DEFAULT_BUDGET,
        memory_mb: int | None = None,
    ) -> None:
        self._replica = replica
        self._ledger = ledger
        self._clock = clock
        self._log = EventLogger()
        self._job_log = JobLog(ledger)
        self._log_failure = self._log.on_exception(events.TASK_FAILED)
        self._proposer = Proposer(replica)
        self._suspects = SuspectWorkers()
        self._guilty_jobs = GuiltyJobs(ledger, self._proposer)
        self._refusals = Backoff[RunKey](REFUSAL_DELAY_MS, MAX_REFUSAL_DELAY_MS)
        self._sessions = WorkerSessions(
            ledger, clock, make_port, lease_ms, max_report_age_ms, self, max_start_ms, max_lease_ms
        )
        self._zone_regions = zone_regions or {}
        self._start_budget = start_budget
        self._evacuations = ZoneEvacuations(
            ledger, self._sessions, self._proposer, self.request_planning
        )
        self._silences = WorkerSilences(self._sessions, self._proposer)
        self._sessions.on_answering = lambda: self.spawn(self._silences.commit_changes())
        ledger.clock = clock
        self._paces = WorkerPaces(ledger)
        self._idle_times = IdleTimes()
        self._plan_memory = PlanMemory()
        self._planned_term = 0
        self._stops = RunStops(ledger, self._sessions, self._suspects, clock)
        self._registry = WorkerRegistry(ledger, self._sessions, self, self._proposer, clock)
        self._begun_jobs = BegunJobs(ledger, self._proposer)
        self._call_handler = CallHandler(
            ledger,
            self._proposer,
            self._begun_jobs,
            JobAdmission(ledger, max_job_bytes(memory_mb)),
            self.request_planning,
        )
        self._wall_offset_ms = 0
        self._issued_tokens = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._ticker: asyncio.Task[None] | None = None
        self._has_taken_over = False
        self._leading_since_ms = 0
        self._waiting_jobs = WaitingJobs(ledger)
        self._urgent_starts = UrgentStarts(ledger)
        self._plan_loop = PlanLoop(
            clock,
            ledger,
            self,
            prepare=self._end_lost_runs,
            make=lambda limits: self._make_plan(limits),
            execute=self._execute,
        )
        self._lost_runs_due_ms = 0
        self._jobs_with_errors: set[str] = set()
        replica.on_leadership(self._on_leadership)

    @property
    def now_ms(self) -> int:
        """Return wall-clock ms since the Unix epoch.

        The offset from the monotonic clock is read once per leadership, so that the time never
        jumps while this host leads.
        """
        return self._clock.now_ms() + self._wall_offset_ms

    async def handle(self, call: messages.Call) -> messages.Reply:
        """Handle one call and return its reply.

        Where this host stops leading before the reply, its state may be out of date, so the reply
        becomes `OutcomeUnknown`.
        """
        if not self._replica.is_leader:
            return messages.NotLeader(self._replica.leader)
        reply = await self._dispatch(call)
        if not self._replica.is_leader and not isinstance(reply, messages.OutcomeUnknown):
            reply = messages.OutcomeUnknown("leadership lapsed before the answer")
        metrics.REPLIES.labels(call.label, reply.label).inc()
        if isinstance(reply, messages.Refused):
            metrics.REFUSALS.labels(reply.reason).inc()
        return reply

    async def close(self) -> None:
        """Stop planning and close all worker sessions."""
        self._stop()
        await close_all(self._sessions.detach_all())

    async def _dispatch(self, call: messages.Call) -> messages.Reply:
        match call:
            case messages.Submit():
                return await self._call_handler.submit(call, self.now_ms)
            case messages.GetStatus():
                return self._call_handler.get_status(call)
            case messages.Cancel():
                return await self._call_handler.cancel(call, self.now_ms)
            case messages.Heartbeat() | messages.HeartbeatBatch() | messages.Deregister():
                return await self._registry.handle(call)
            case messages.InstallManifest(manifest):
                return await self._call_handler.install(manifest)
            case messages.ReadManifest():
                return self._call_handler.read_manifest()
            case messages.EvacuateZone():
                return await self._evacuations.evacuate(call, self.now_ms)
            case messages.ReadmitZone():
                return await self._evacuations.readmit(call, self.now_ms)
            case messages.ReadEvacuations():
                return self._evacuations.read()
            case messages.Ping():
                return messages.Done()

    def next_token(self) -> int:
        """Return a fencing token greater than all issued by this or an earlier leader."""
        self._issued_tokens += 1
        return (self._replica.term << 20) + self._issued_tokens

    def may_send_orders(self) -> bool:
        """Return whether this host leads now, so that it may send orders to workers."""
        return self._replica.is_leader

    async def commit_run_ends(self, ends: tuple[commands.RunEnded, ...]) -> bool:
        """Commit how runs ended and request planning; return whether the commit succeeded."""
        at_ms = self.now_ms
        result = await self._proposer.propose(commands.EndRuns(ends, at_ms))
        if result.is_error():
            return False
        for end in result.ok:
            self._on_run_ended(end)
        for id in {end.job for end in result.ok}:
            self._job_log.job_ended(id, at_ms)
        self.request_planning()
        return True

    def request_planning(self) -> None:
        """Make a new plan soon; requests made meanwhile share one plan."""
        self._plan_loop.request()

    def knows_all_workers(self) -> bool:
        """Return whether each worker has answered a poll of this leader, or failed to."""
        return self._sessions.knows_all()

    def on_run_begun(self, key: RunKey, is_adopted: bool) -> None:
        """Handle that a run has begun; an adopted one was ordered by an earlier leader."""
        self._begun_jobs.run_begun(key[0])
        if not is_adopted:
            self._urgent_starts.run_begun(key, self.now_ms)

    def may_plan(self) -> bool:
        """Return whether this host leads and its workers have told what ended before it did.

        A plan made on the first answers would preempt runs for room that others have free.
        """
        if self._ticker is None or not self._replica.is_leader:
            return False
        if not self._has_taken_over:
            waited_ms = self._clock.now_ms() - self._leading_since_ms
            self._has_taken_over = self.knows_all_workers() or waited_ms >= TAKEOVER_WAIT_MS
        return self._has_taken_over

    def _on_leadership(self, is_leader: bool, term: int) -> None:
        if not is_leader:
            self._log.info(events.NOT_LEADING, term=term)
            self._stop()
            self.spawn(close_all(self._sessions.detach_all()))
            return
        self._log.info(events.LEADING, term=term, jobs=len(self._ledger.jobs))
        self._issued_tokens = 0
        self._jobs_with_errors.clear()
        self._refusals.clear()
        self._has_taken_over = False
        self._idle_times = IdleTimes()
        self._urgent_starts.clear()
        self._begun_jobs.clear()
        self._leading_since_ms = self._clock.now_ms()
        self._wall_offset_ms = self._clock.wall_ms() - self._leading_since_ms
        self._sessions.open_all(self._replica.leader_contact)
        ticking = repeat(self._tick, TICK_MS, self._log_failure)
        self._ticker = asyncio.get_running_loop().create_task(ticking)
        self.request_planning()

    def _stop(self) -> None:
        if self._ticker is not None:
            self._ticker.cancel()
            self._ticker = None
            self._evacuations.reset()

    def spawn(self, coro: Coroutine[Any, Any, Any]) -> None:
        """Run a background task; an exception in it is logged."""
        spawn(coro, self._tasks, self._log_failure)

    async def _tick(self) -> None:
        if not self._replica.is_leader:
            return
        try:
            await self._run_checks()
        finally:
            self.request_planning()

    async def _run_checks(self) -> None:
        """Run the checks that are due in each tick."""
        self.spawn(self._silences.commit_changes())
        await self._begun_jobs.commit(self.now_ms)
        await self._give_up_guilty_jobs()
        await self._registry.forget_unanswered()
        self._stops.stop_hung()
        self._evacuations.check()
        self._paces.update(lambda: self._sessions.progress(self._wall_offset_ms), self.now_ms)

    async def _end_lost_runs(self) -> None:
        """End lost runs, once in each tick at most.

        This happens between plans only: while a plan is executed, the ledger has runs that no
        session tracks yet.
        """
        now_ms = self._clock.now_ms()
        if now_ms >= self._lost_runs_due_ms:
            self._lost_runs_due_ms = now_ms + TICK_MS
            await self._sessions.end_lost_runs()

    async def _give_up_guilty_jobs(self) -> None:
        """Fail each job with a subtask that crashes its workers."""
        at_ms = self.now_ms
        for id in await self._guilty_jobs.give_up(at_ms):
            self._job_log.job_ended(id, at_ms)

    def _make_plan(self, limits: PlanLimits) -> Steps[Plan]:
        self._planned_term = self._replica.term
        self._stops.stop_obsolete()
        stopping = self._sessions.stopping_runs()
        limit_ms = self._start_budget.preemption_ms
        fleet = yield from Fleet.build(
            self._ledger,
            self._sessions.health(self._is_suspect),
            stopping,
            self._zone_regions,
            overdue={key for key, lasts_ms in stopping.items() if lasts_ms > limit_ms},
        )
        fleet.set_paces(self._paces.current)
        held = self._refusals.held(self._clock.now_ms()) | self._sessions.held_ends()
        planner = Planner(
            self._ledger,
            fleet,
            self.now_ms,
            held=held,
            idle_times=self._idle_times,
            budget=self._start_budget,
            memory=self._plan_memory,
            limits=limits,
        )
        return (yield from planner.steps())

    async def _execute(self, plan: Plan) -> None:
        if self._replica.term != self._planned_term:
            return
        self._log_errors(plan)
        self._waiting_jobs.observe(plan, self.now_ms)
        self._urgent_starts.observe(plan, self.now_ms)
        for stop in plan.stops:
            self._stops.stop(
                stop.key, stop.run, "room", for_job=stop.for_job, for_rank=stop.for_rank
            )
        if not plan.starts:
            return
        term = self._replica.term
        command = commands.StartRuns(tuple(plan.starts), self.now_ms)
        with self._sessions.committing_starts(plan.starts):
            result: Result[Any, Any] = await self._proposer.propose(command)
        if result.is_error() or not self._replica.is_leader or self._replica.term != term:
            return
        for start in result.ok:
            self._job_log.run_started(start, self.now_ms)
            self._urgent_starts.run_placed(start, self.now_ms)
            self._sessions.start_run(start, self._ledger.jobs[start.job].spec.payload)

    def _log_errors(self, plan: Plan) -> None:
        """Log each job that could not be planned, once for each leadership."""
        for id in plan.errors.keys() - self._jobs_with_errors:
            self._jobs_with_errors.add(id)
            self._log.error(events.JOB_NOT_PLANNED, job=id, detail=plan.errors[id])

    def _is_suspect(self, worker: str, born: int) -> bool:
        return self._suspects.is_suspect(worker, born, self._clock.now_ms())

    def _update_refusals(self, key: RunKey, end: commands.RunEnded) -> None:
        """Hold back a subtask whose start was refused; forget its refusals after any other end.

        If its worker is held back for the refusal, others may be tried at once.
        """
        if end.outcome is not commands.RunOutcome.REFUSED:
            self._refusals.record_success(key)
        elif not self._sessions.is_paused(end.run):
            self._refusals.record_failure(key, self._clock.now_ms())

    def _on_run_ended(self, end: commands.RunEnded) -> None:
        self._job_log.run_ended(end)
        key = (end.job, end.subtask)
        self._urgent_starts.run_ended(key)
        self._update_refusals(key, end)
        if end.outcome is commands.RunOutcome.DONE:
            self._suspects.record_success(*end.run.worker_key)
        elif end.outcome is commands.RunOutcome.FAILED:
            now_ms = self._clock.now_ms()
            if self._suspects.record_failure(*end.run.worker_key, end.job, now_ms):
                worker = end.run.worker
                self._log.warning(events.WORKER_SUSPECT, worker=worker, reason="failed runs")
