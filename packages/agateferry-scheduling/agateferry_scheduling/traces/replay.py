"""Replay a trace through a scheduler, in virtual time and with simulated workers.

For example `replay(Path("storm.jsonl"), Policy.FAIR).table()` returns a text for people. The
simulated cluster checks each decision, and after each step of the fair policy the invariant of the
guarantees is checked too.
"""

import heapq
import time
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum
from itertools import count
from pathlib import Path

from agateferry_scheduling.guarantees.check import find_guarantee_violation
from agateferry_scheduling.scheduler.baseline import BaselineScheduler
from agateferry_scheduling.scheduler.messages import (
    ConfigChanged,
    Decision,
    EndReason,
    EvacuationChanged,
    GuaranteeAtRisk,
    PendingRequest,
    PolicyWeights,
    Preempt,
    Quarantine,
    Reject,
    RequestEnded,
    RequestQueued,
    RequestWithdrawn,
    Scheduler,
    SchedulerEvent,
    SchedulingConfig,
    Start,
    Team,
    TeamsChanged,
    Tick,
    UsageReported,
    WorkerJoined,
    WorkerLeaving,
    WorkerLost,
)
from agateferry_scheduling.scheduler.scheduler import FairScheduler
from agateferry_scheduling.traces.cluster import Cluster, InvariantError, Run
from agateferry_scheduling.traces.meter import Meter
from agateferry_scheduling.traces.records import (
    Cancelled,
    ConfigSet,
    EvacuationSet,
    Record,
    Submitted,
    TeamsSet,
    UsageSeen,
    WorkerBroke,
    WorkerDown,
    WorkerLeft,
    WorkerUp,
    read_trace,
)
from agateferry_scheduling.traces.report import Report

BUSY_TICK_INTERVAL_MS = 500
IDLE_TICK_INTERVAL_MS = 10_000
BUSY_AFTER_CHANGE_MS = 5_000
CHECKPOINT_DURATION_MS = 2_000
TIME_TO_FAILURE_MS = 3_000
MAX_DRAIN_MS = 10 * 3_600_000


class Policy(StrEnum):
    """The schedulers that can be replayed."""

    FAIR = "fair"
    BASELINE = "baseline"


@dataclass(frozen=True, slots=True)
class _Finish:
    """A run ends by itself, finished or failed."""

    run: Run


@dataclass(frozen=True, slots=True)
class _Stop:
    """A preempted run stops, after its checkpoint if it makes one."""

    run: Run


@dataclass(frozen=True, slots=True)
class _Tick:
    """The scheduler gets a tick."""


_Action = Record | _Finish | _Stop | _Tick


def replay(
    trace: Path | Sequence[Record],
    policy: Policy = Policy.FAIR,
    weights: PolicyWeights | None = None,
    name: str = "",
) -> Report:
    """Replay a trace, given as a file or as records, to its end and return the measures.

    `weights` replaces the weights in the trace. A violated invariant ends the replay and is named
    in the report. A request whose run time was not recorded runs for its declared time.
    """
    records = read_trace(trace) if isinstance(trace, Path) else list(trace)
    title = name or (trace.stem if isinstance(trace, Path) else "trace")
    return Replay(records, policy, weights).run(title)


def make_scheduler(policy: Policy, zone: str, config: SchedulingConfig) -> Scheduler:
    """Return a new scheduler for a policy."""
    if policy is Policy.BASELINE:
        return BaselineScheduler(zone, config)
    return FairScheduler(zone, config)


@dataclass
class Replay:
    """One replay, with its queue of timed actions, cluster, scheduler and meter.

    `remaining_ms` is the run time that each request still needs, less what checkpoints saved.
    `failing_requests` fail wherever they run.
    """

    records: Sequence[Record]
    policy: Policy
    weights: PolicyWeights | None = None
    cluster: Cluster = field(default_factory=Cluster)
    config: SchedulingConfig = SchedulingConfig()
    teams: dict[str, Team] = field(default_factory=dict)
    remaining_ms: dict[str, int] = field(default_factory=dict)
    failing_requests: set[str] = field(default_factory=set)
    step_us: list[int] = field(default_factory=list)
    quarantined: set[str] = field(default_factory=set)
    at_risk: tuple[str, ...] = ()
    now_ms: int = 0

    def __post_init__(self) -> None:
        """Queue all records and create the scheduler, for the zone of the first worker."""
        if self.weights is not None:
            self.config = replace(self.config, weights=self.weights)
        zones = [record.worker.zone for record in self.records if isinstance(record, WorkerUp)]
        self.scheduler = make_scheduler(self.policy, zones[0] if zones else "", self.config)
        last_ms = max((record.at_ms for record in self.records), default=0)
        self.end_ms = last_ms + MAX_DRAIN_MS
        self.meter = Meter(self.cluster, last_ms)
        self._sequence_numbers = count()
        self._actions: list[tuple[int, int, _Action]] = []
        for record in self.records:
            self._schedule(record.at_ms, record)
        self._has_scheduled_tick = False
        self._next_tick_ms = 0
        self._last_change_ms = 0

    def run(self, title: str) -> Report:
        """Execute all actions in order of time and return the measures.

        The replay stops `MAX_DRAIN_MS` after the last record at the latest.
        """
        broken: str | None = None
        try:
            while self._actions and self.now_ms <= self.end_ms:
                self._run_next_action()
        except InvariantError as exc:
            broken = f"at {self.now_ms} ms: {exc}"
        report = self.meter.report(title, self.policy.value, self.config, self.now_ms)
        report.broken = broken
        report.quarantined = tuple(sorted(self.quarantined))
        report.at_risk = self.at_risk
        report.steps = len(self.step_us)
        report.step_p99_us = sorted(self.step_us)[int(0.99 * (len(self.step_us) - 1))]
        return report

    def _run_next_action(self) -> None:
        at_ms, _, action = heapq.heappop(self._actions)
        self.now_ms = at_ms
        self.meter.advance(at_ms)
        match action:
            case _Tick():
                if at_ms != self._next_tick_ms:
                    return
                self._has_scheduled_tick = False
                self._step(Tick())
            case _Finish(run=run):
                self._finish(run)
            case _Stop(run=run):
                self._stop(run)
            case Submitted():
                self._submit(action)
            case Cancelled(request_id=request_id):
                self._cancel(request_id)
            case _:
                self._apply_change(action)
        interval_ms = self._tick_interval_ms(action)
        if (self.cluster.runs or self.meter.waiting) and (
            not self._has_scheduled_tick or self._next_tick_ms > self.now_ms + interval_ms
        ):
            self._has_scheduled_tick = True
            self._next_tick_ms = self.now_ms + interval_ms
            self._schedule(self._next_tick_ms, _Tick())

    def _apply_change(self, record: Record) -> None:
        match record:
            case WorkerUp(worker=worker):
                self.cluster.join(worker)
                self._step(WorkerJoined(worker))
            case WorkerLeft(name=name):
                self.cluster.leaving.add(name)
                self._step(WorkerLeaving(name))
            case WorkerDown(name=name):
                self._lose_worker(name)
            case WorkerBroke(name=name, mended=mended):
                (self.cluster.broken.discard if mended else self.cluster.broken.add)(name)
            case TeamsSet(teams=teams):
                self.teams = {team.name: team for team in teams}
                self._step(TeamsChanged(teams))
            case ConfigSet(config=config):
                weights = self.weights or config.weights
                self.config = replace(config, weights=weights)
                self._step(ConfigChanged(self.config))
            case EvacuationSet(evacuated=evacuated):
                self.cluster.evacuated = evacuated
                self._step(EvacuationChanged(evacuated))
            case UsageSeen():
                as_of_ms, slots = record.as_of_ms, record.slots_used
                usage = UsageReported(record.name, as_of_ms, slots, record.accelerators_used)
                self._step(usage)

    def _submit(self, record: Submitted) -> None:
        request = record.request
        run_ms = request.declared_run_ms if record.run_ms is None else record.run_ms
        self.remaining_ms[request.request_id] = run_ms
        if record.fails:
            self.failing_requests.add(request.request_id)
        teams = {name: team for name, team in self.teams.items() if name not in self.at_risk}
        self.meter.record_queued(request, run_ms, teams, self.now_ms)
        self._step(RequestQueued(request))

    def _cancel(self, request_id: str) -> None:
        tracked = self.meter.requests.get(request_id)
        if tracked is None or tracked.has_ended:
            return
        self.meter.record_cancellation(request_id, self.config, self.now_ms)
        run = self.cluster.runs.get(request_id)
        if run is None:
            self._step(RequestWithdrawn(request_id))
            return
        self.meter.work_accelerator_ms += self._accelerator_ms(run)
        self.cluster.end(request_id)
        self._step(RequestEnded(request_id, EndReason.CANCELLED, self.now_ms - run.started_ms))

    def _lose_worker(self, name: str) -> None:
        lost_ids = self.cluster.remove_worker(name)
        self._step(WorkerLost(name))
        for request_id in lost_ids:
            run = self.cluster.end(request_id)
            self.meter.record_requeue(request_id, self.now_ms)
            run_ms = self.now_ms - run.started_ms
            self._step(RequestEnded(request_id, EndReason.WORKER_LOST, run_ms))
            self._step(RequestQueued(run.request))

    def _finish(self, run: Run) -> None:
        request = run.request
        if self.cluster.runs.get(request.request_id) is not run:
            return
        self.cluster.end(request.request_id)
        run_ms = self.now_ms - run.started_ms
        failed_workers = run.failing_workers
        if request.request_id in self.failing_requests:
            failed_workers = failed_workers or tuple(run.workers)[:1]
        if not failed_workers:
            self.meter.record_end(run, True, self.now_ms)
            self._step(RequestEnded(request.request_id, EndReason.FINISHED, run_ms))
            return
        self.meter.record_requeue(request.request_id, self.now_ms)
        self._step(RequestEnded(request.request_id, EndReason.FAILED, run_ms, failed_workers))
        self._step(RequestQueued(request))

    def _stop(self, run: Run) -> None:
        request = run.request
        if self.cluster.runs.get(request.request_id) is not run:
            return
        self.cluster.end(request.request_id)
        run_ms = self.now_ms - run.started_ms
        kept_ms = 0
        if request.checkpointable and run.checkpoint_ms is not None:
            kept_ms = max(run.checkpoint_ms - run.started_ms, 0)
        self.remaining_ms[request.request_id] = max(run.remaining_ms - kept_ms, 1)
        self.meter.record_preemption(run, kept_ms, self.now_ms)
        self._step(RequestEnded(request.request_id, EndReason.PREEMPTED, run_ms))
        self._step(RequestQueued(request))

    def _step(self, event: SchedulerEvent) -> None:
        before = time.perf_counter_ns()
        decisions = self.scheduler.step(event, self.now_ms)
        self.step_us.append((time.perf_counter_ns() - before) // 1_000)
        for decision in decisions:
            self._execute(decision)
        self._check_guarantees()

    def _execute(self, decision: Decision) -> None:
        match decision:
            case Start():
                self._start(decision)
            case Preempt(request_id=request_id, stop_by_ms=stop_by_ms):
                self._preempt(request_id, stop_by_ms)
            case Reject(request_id=request_id, reason=reason):
                self.meter.record_rejection(request_id, reason.value)
            case Quarantine(worker=worker, lifted=lifted):
                (self.quarantined.discard if lifted else self.quarantined.add)(worker)
            case GuaranteeAtRisk(teams=teams):
                self.at_risk = teams

    def _start(self, decision: Start) -> None:
        request = self._find_request(decision.request_id)
        if decision.request_id not in self.meter.waiting:
            raise InvariantError(f"{decision.request_id} starts but does not wait")
        remaining_ms = self.remaining_ms[decision.request_id]
        run = self.cluster.start(request, decision.assignments, self.now_ms, remaining_ms)
        self.meter.record_start(request, self.config, self.now_ms)
        fails = bool(run.failing_workers) or decision.request_id in self.failing_requests
        self._schedule(
            self.now_ms + (min(TIME_TO_FAILURE_MS, remaining_ms) if fails else remaining_ms),
            _Finish(run),
        )

    def _preempt(self, request_id: str, stop_by_ms: int) -> None:
        run = self.cluster.runs.get(request_id)
        if run is None:
            raise InvariantError(f"{request_id} is preempted but does not run")
        if not run.request.preemptible:
            raise InvariantError(f"{request_id} is preempted but is not preemptible")
        checkpoint_duration_ms = CHECKPOINT_DURATION_MS if run.request.checkpointable else 0
        if self.now_ms + checkpoint_duration_ms <= stop_by_ms:
            run.checkpoint_ms = self.now_ms
        self._schedule(
            min(self.now_ms + checkpoint_duration_ms, max(stop_by_ms, self.now_ms)), _Stop(run)
        )

    def _check_guarantees(self) -> None:
        if not isinstance(self.scheduler, FairScheduler):
            return
        zone = self.scheduler.zone
        violation = find_guarantee_violation(zone.topology, zone.layout, self.teams.values())
        if violation is not None:
            raise InvariantError(violation)

    def _accelerator_ms(self, run: Run) -> int:
        demand = run.request.demand
        return (self.now_ms - run.started_ms) * demand.members * max(demand.accelerators, 1)

    def _tick_interval_ms(self, action: _Action) -> int:
        """Return the time until the next tick.

        It is short for `BUSY_AFTER_CHANGE_MS` after each action other than a tick, while any
        request waits.
        """
        if not isinstance(action, _Tick):
            self._last_change_ms = self.now_ms
        is_recent = self.now_ms - self._last_change_ms < BUSY_AFTER_CHANGE_MS
        is_busy = is_recent and bool(self.meter.waiting)
        return BUSY_TICK_INTERVAL_MS if is_busy else IDLE_TICK_INTERVAL_MS

    def _find_request(self, request_id: str) -> PendingRequest:
        return self.meter.requests[request_id].request

    def _schedule(self, at_ms: int, action: _Action) -> None:
        heapq.heappush(self._actions, (at_ms, next(self._sequence_numbers), action))
