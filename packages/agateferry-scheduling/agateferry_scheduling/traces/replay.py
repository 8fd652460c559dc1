"""Replay a trace through a scheduler, in virtual time and against a fake of the workers.

For example `replay(Path("storm.jsonl"), Policy.FAIR).table()` gives a text for people. After each
step the cluster's own books are checked, and for the fair policy the proof of its guarantees too.
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
from agateferry_scheduling.traces.cluster import BrokenInvariant, Cluster, Run
from agateferry_scheduling.traces.meter import Meter
from agateferry_scheduling.traces.records import (
    Cancelled,
    ConfigSet,
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

TICK_MS = 500
IDLE_TICK_MS = 10_000
BUSY_AFTER_CHANGE_MS = 5_000
CHECKPOINT_MS = 2_000
FAILURE_MS = 3_000
DRAIN_MS = 10 * 3_600_000


class Policy(StrEnum):
    """The schedulers that can be replayed."""

    FAIR = "fair"
    BASELINE = "baseline"


@dataclass(frozen=True, slots=True)
class _Finish:
    """A run comes to its own end."""

    run: Run


@dataclass(frozen=True, slots=True)
class _Stop:
    """A run has checkpointed, if it can, and stops."""

    run: Run


@dataclass(frozen=True, slots=True)
class _Tick:
    """Time passes."""


_Action = Record | _Finish | _Stop | _Tick


def replay(
    trace: Path | Sequence[Record],
    policy: Policy = Policy.FAIR,
    weights: PolicyWeights | None = None,
    name: str = "",
) -> Report:
    """Run a trace, from a file or at hand, to its end and return what was measured.

    `weights` takes the place of those in the trace. A broken invariant ends the replay and is told
    in the report. A request whose run time was not recorded runs as long as it declared.
    """
    records = read_trace(trace) if isinstance(trace, Path) else list(trace)
    title = name or (trace.stem if isinstance(trace, Path) else "trace")
    return Replay(records, policy, weights).run(title)


def scheduler_for(policy: Policy, zone: str, config: SchedulingConfig) -> Scheduler:
    """Return a new scheduler of a policy."""
    if policy is Policy.BASELINE:
        return BaselineScheduler(zone, config)
    return FairScheduler(zone, config)


@dataclass
class Replay:
    """One replay: the queue of what happens next, the cluster, the scheduler and the meter."""

    records: Sequence[Record]
    policy: Policy
    weights: PolicyWeights | None = None
    cluster: Cluster = field(default_factory=Cluster)
    config: SchedulingConfig = SchedulingConfig()
    teams: dict[str, Team] = field(default_factory=dict)
    left_ms: dict[str, int] = field(default_factory=dict)
    failing: set[str] = field(default_factory=set)
    step_us: list[int] = field(default_factory=list)
    quarantined: set[str] = field(default_factory=set)
    at_risk: tuple[str, ...] = ()
    now_ms: int = 0

    def __post_init__(self) -> None:
        """Queue all records and make the scheduler for the zone of the first worker."""
        if self.weights is not None:
            self.config = replace(self.config, weights=self.weights)
        zones = [record.worker.zone for record in self.records if isinstance(record, WorkerUp)]
        self.scheduler = scheduler_for(self.policy, zones[0] if zones else "", self.config)
        last_ms = max((record.at_ms for record in self.records), default=0)
        self.end_ms = last_ms + DRAIN_MS
        self.meter = Meter(self.cluster, last_ms)
        self._numbers = count()
        self._actions: list[tuple[int, int, _Action]] = []
        for record in self.records:
            self._later(record.at_ms, record)
        self._ticking = False
        self._tick_at_ms = 0
        self._changed_ms = 0

    def run(self, title: str) -> Report:
        """Carry everything out and report."""
        broken: str | None = None
        try:
            while self._actions and self.now_ms <= self.end_ms:
                self._next()
        except BrokenInvariant as exc:
            broken = f"at {self.now_ms} ms: {exc}"
        report = self.meter.report(title, self.policy.value, self.config, self.now_ms)
        report.broken = broken
        report.quarantined = tuple(sorted(self.quarantined))
        report.at_risk = self.at_risk
        report.steps = len(self.step_us)
        report.step_p99_us = sorted(self.step_us)[int(0.99 * (len(self.step_us) - 1))]
        return report

    def _next(self) -> None:
        at_ms, _, action = heapq.heappop(self._actions)
        self.now_ms = at_ms
        self.meter.advance(at_ms)
        match action:
            case _Tick():
                if at_ms != self._tick_at_ms:
                    return
                self._ticking = False
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
                self._change(action)
        gap_ms = self._tick_ms(action)
        if (self.cluster.runs or self.meter.waiting) and (
            not self._ticking or self._tick_at_ms > self.now_ms + gap_ms
        ):
            self._ticking = True
            self._tick_at_ms = self.now_ms + gap_ms
            self._later(self._tick_at_ms, _Tick())

    def _change(self, record: Record) -> None:
        match record:
            case WorkerUp(worker=worker):
                self.cluster.join(worker)
                self._step(WorkerJoined(worker))
            case WorkerLeft(name=name):
                self.cluster.leaving.add(name)
                self._step(WorkerLeaving(name))
            case WorkerDown(name=name):
                self._lose(name)
            case WorkerBroke(name=name, mended=mended):
                (self.cluster.broken.discard if mended else self.cluster.broken.add)(name)
            case TeamsSet(teams=teams):
                self.teams = {team.name: team for team in teams}
                self._step(TeamsChanged(teams))
            case ConfigSet(config=config):
                weights = self.weights or config.weights
                self.config = replace(config, weights=weights)
                self._step(ConfigChanged(self.config))
            case UsageSeen():
                as_of_ms, slots = record.as_of_ms, record.slots_used
                seen = UsageReported(record.name, as_of_ms, slots, record.accelerators_used)
                self._step(seen)

    def _submit(self, record: Submitted) -> None:
        request = record.request
        run_ms = request.declared_run_ms if record.run_ms is None else record.run_ms
        self.left_ms[request.request_id] = run_ms
        if record.fails:
            self.failing.add(request.request_id)
        teams = {n: team for n, team in self.teams.items() if n not in self.at_risk}
        self.meter.queued(request, run_ms, teams, self.now_ms)
        self._step(RequestQueued(request))

    def _cancel(self, request_id: str) -> None:
        life = self.meter.lives.get(request_id)
        if life is None or life.done:
            return
        self.meter.cancelled_at(request_id, self.config, self.now_ms)
        run = self.cluster.runs.get(request_id)
        if run is None:
            self._step(RequestWithdrawn(request_id))
            return
        self.meter.work_ms += self._work_of(run)
        self.cluster.end(request_id)
        self._step(RequestEnded(request_id, EndReason.CANCELLED, self.now_ms - run.started_ms))

    def _lose(self, name: str) -> None:
        lost = self.cluster.lose(name)
        self._step(WorkerLost(name))
        for request_id in lost:
            run = self.cluster.end(request_id)
            self.meter.requeued(request_id, self.now_ms)
            run_ms = self.now_ms - run.started_ms
            self._step(RequestEnded(request_id, EndReason.WORKER_LOST, run_ms))
            self._step(RequestQueued(run.request))

    def _finish(self, run: Run) -> None:
        request = run.request
        if self.cluster.runs.get(request.request_id) is not run:
            return
        self.cluster.end(request.request_id)
        run_ms = self.now_ms - run.started_ms
        failed = run.fails_on
        if request.request_id in self.failing:
            failed = failed or tuple(run.workers)[:1]
        if not failed:
            self.meter.ended(run, True, self.now_ms)
            self._step(RequestEnded(request.request_id, EndReason.FINISHED, run_ms))
            return
        self.meter.requeued(request.request_id, self.now_ms)
        self._step(RequestEnded(request.request_id, EndReason.FAILED, run_ms, failed))
        self._step(RequestQueued(request))

    def _stop(self, run: Run) -> None:
        request = run.request
        if self.cluster.runs.get(request.request_id) is not run:
            return
        self.cluster.end(request.request_id)
        run_ms = self.now_ms - run.started_ms
        kept_ms = 0
        if request.checkpointable and run.stop_ms is not None:
            kept_ms = max(run.stop_ms - run.started_ms, 0)
        self.left_ms[request.request_id] = max(run.left_ms - kept_ms, 1)
        self.meter.stopped(run, kept_ms, self.now_ms)
        self._step(RequestEnded(request.request_id, EndReason.PREEMPTED, run_ms))
        self._step(RequestQueued(request))

    def _step(self, event: SchedulerEvent) -> None:
        before = time.perf_counter_ns()
        decisions = self.scheduler.step(event, self.now_ms)
        self.step_us.append((time.perf_counter_ns() - before) // 1_000)
        for decision in decisions:
            self._carry_out(decision)
        self._check()

    def _carry_out(self, decision: Decision) -> None:
        match decision:
            case Start():
                self._start(decision)
            case Preempt(request_id=request_id, stop_by_ms=by_ms):
                self._preempt(request_id, by_ms)
            case Reject(request_id=request_id, reason=reason):
                self.meter.refused(request_id, reason.value)
            case Quarantine(worker=worker, lifted=lifted):
                (self.quarantined.discard if lifted else self.quarantined.add)(worker)
            case GuaranteeAtRisk(teams=teams):
                self.at_risk = teams

    def _start(self, decision: Start) -> None:
        request = self._request(decision.request_id)
        if decision.request_id not in self.meter.waiting:
            raise BrokenInvariant(f"{decision.request_id} starts though it does not wait")
        left_ms = self.left_ms[decision.request_id]
        run = self.cluster.start(request, decision.assignments, self.now_ms, left_ms)
        self.meter.started(request, self.config, self.now_ms)
        fails = bool(run.fails_on) or decision.request_id in self.failing
        self._later(self.now_ms + (min(FAILURE_MS, left_ms) if fails else left_ms), _Finish(run))

    def _preempt(self, request_id: str, by_ms: int) -> None:
        run = self.cluster.runs.get(request_id)
        if run is None:
            raise BrokenInvariant(f"{request_id} is told to stop but does not run")
        if not run.request.preemptible:
            raise BrokenInvariant(f"{request_id} is told to stop but cannot be taken back")
        needed_ms = CHECKPOINT_MS if run.request.checkpointable else 0
        if self.now_ms + needed_ms <= by_ms:
            run.stop_ms = self.now_ms
        self._later(min(self.now_ms + needed_ms, max(by_ms, self.now_ms)), _Stop(run))

    def _check(self) -> None:
        if not isinstance(self.scheduler, FairScheduler):
            return
        zone = self.scheduler.zone
        fault = find_guarantee_violation(zone.topology, zone.layout, self.teams.values())
        if fault is not None:
            raise BrokenInvariant(fault)

    def _work_of(self, run: Run) -> int:
        demand = run.request.demand
        return (self.now_ms - run.started_ms) * demand.members * max(demand.accelerators, 1)

    def _tick_ms(self, action: _Action) -> int:
        """Tick often for a while after each change as long as anything waits."""
        if not isinstance(action, _Tick):
            self._changed_ms = self.now_ms
        is_fresh = self.now_ms - self._changed_ms < BUSY_AFTER_CHANGE_MS
        is_busy = is_fresh and bool(self.meter.waiting)
        return TICK_MS if is_busy else IDLE_TICK_MS

    def _request(self, request_id: str) -> PendingRequest:
        return self.meter.lives[request_id].request

    def _later(self, at_ms: int, action: _Action) -> None:
        heapq.heappush(self._actions, (at_ms, next(self._numbers), action))
