"""Measure a replay while it runs."""

import math
from collections import Counter
from dataclasses import dataclass, field

from agateferry_core.demand import Adjacency, Demand, Urgency
from agateferry_scheduling.queueing import is_large
from agateferry_scheduling.scheduler.messages import (
    PendingRequest,
    SchedulingConfig,
    Team,
)
from agateferry_scheduling.topology.resources import proportional_resources
from agateferry_scheduling.traces.cluster import Cluster, Run
from agateferry_scheduling.traces.report import Report, Sample, spread

SAMPLE_MS = 60_000
GROUPS = (8, 32)
SMALL_MEMBERS = 1
SLOWDOWN_FLOOR_MS = 10_000


@dataclass(slots=True)
class Life:
    """What became of a request."""

    request: PendingRequest
    run_ms: int
    waiting_since_ms: int | None
    entitled: bool = False
    started: bool = False
    done: bool = False


@dataclass
class Meter:
    """Collect times and integrals; `report` sums them up.

    Integrals run up to `until_ms`, the last line of the trace, so that they span the same time
    under each policy.
    """

    cluster: Cluster
    until_ms: int
    lives: dict[str, Life] = field(default_factory=dict)
    waiting: dict[str, None] = field(default_factory=dict)
    completion: dict[Urgency, list[int]] = field(
        default_factory=lambda: {urgency: [] for urgency in Urgency}
    )
    small_urgent: list[int] = field(default_factory=list)
    small_urgent_runs: list[int] = field(default_factory=list)
    slowdowns: list[float] = field(default_factory=list)
    reclaims: list[int] = field(default_factory=list)
    urgent_waits: list[tuple[int, bool]] = field(default_factory=list)
    large_wait_ms: int = 0
    rejected: Counter[str] = field(default_factory=Counter)
    finished: int = 0
    cancelled: int = 0
    preemptions: int = 0
    work_ms: int = 0
    lost_ms: int = 0
    samples: list[Sample] = field(default_factory=list)
    _last_ms: int = 0
    _stranded_ms: float = 0.0
    _used_ms: int = 0
    _total_ms: int = 0

    def advance(self, now_ms: int) -> None:
        """Add the time since the last change to the integrals."""
        span_ms = min(now_ms, self.until_ms) - self._last_ms
        self._last_ms = max(min(now_ms, self.until_ms), self._last_ms)
        if span_ms <= 0 or not self.cluster.workers:
            return
        total = sum(worker.accelerators for worker in self.cluster.workers.values())
        free = sum(amount.accelerators for amount in self.cluster.free.values())
        self._total_ms += total * span_ms
        self._used_ms += (total - free) * span_ms
        self._stranded_ms += self._stranded(free) * span_ms
        if not self.samples or now_ms - self.samples[-1].at_ms >= SAMPLE_MS:
            self.samples.append(self._sample(now_ms, total, total - free))

    def queued(
        self, request: PendingRequest, run_ms: int, teams: dict[str, Team], now_ms: int
    ) -> None:
        """Note a new request, and whether its team's guarantee covers it."""
        life = Life(request, run_ms, now_ms)
        life.entitled = self._is_entitled(request, teams.get(request.team))
        self.lives[request.request_id] = life
        self.waiting[request.request_id] = None

    def started(self, request: PendingRequest, config: SchedulingConfig, now_ms: int) -> None:
        """Note a start and how long the request waited for it."""
        life = self.lives[request.request_id]
        since_ms = request.submitted_ms if life.waiting_since_ms is None else life.waiting_since_ms
        waited_ms = now_ms - since_ms
        self.waiting.pop(request.request_id, None)
        self._note_wait(life, waited_ms, config)
        life.started = True
        life.waiting_since_ms = None

    def stopped(self, run: Run, kept_ms: int, now_ms: int) -> None:
        """Note a preemption; the request waits again."""
        request = run.request
        run_ms = now_ms - run.started_ms
        width = request.demand.members * max(request.demand.accelerators, 1)
        self.preemptions += 1
        self.work_ms += run_ms * width
        self.lost_ms += (run_ms - kept_ms) * width
        self.requeued(request.request_id, now_ms)

    def requeued(self, request_id: str, now_ms: int) -> None:
        """Note that a request waits again."""
        self.lives[request_id].waiting_since_ms = now_ms
        self.waiting[request_id] = None

    def ended(self, run: Run, finished: bool, now_ms: int) -> None:
        """Note the end of a run; only finished requests have a completion time."""
        request = run.request
        life = self.lives[request.request_id]
        width = request.demand.members * max(request.demand.accelerators, 1)
        self.work_ms += (now_ms - run.started_ms) * width
        life.done = True
        if finished:
            self.finished += 1
            self._complete(life, now_ms)

    def cancelled_at(self, request_id: str, config: SchedulingConfig, now_ms: int) -> None:
        """Note a cancellation; a wait that had gone past its bound still counts."""
        life = self.lives[request_id]
        self.cancelled += 1
        if life.waiting_since_ms is not None:
            waited_ms = now_ms - life.waiting_since_ms
            if waited_ms > min(config.urgent_start_ms, config.reclaim_ms):
                self._note_wait(life, waited_ms, config)
        self._close(life)

    def refused(self, request_id: str, reason: str) -> None:
        """Note a rejection."""
        self.rejected[reason] += 1
        self._close(self.lives[request_id])

    def _close(self, life: Life) -> None:
        self.waiting.pop(life.request.request_id, None)
        life.done = True

    def report(self, trace: str, policy: str, config: SchedulingConfig, end_ms: int) -> Report:
        """Sum up; requests that did not finish count with the time until the end."""
        unfinished = [life for life in self.lives.values() if not life.done]
        for life in unfinished:
            self._complete(life, end_ms)
            if life.waiting_since_ms is not None:
                self._note_wait(life, end_ms - life.waiting_since_ms, config)
        late = [ok for waited_ms, ok in self.urgent_waits if waited_ms > config.urgent_start_ms]
        mean_log = sum(math.log(s) for s in self.slowdowns) / max(len(self.slowdowns), 1)
        return Report(
            trace,
            policy,
            completion={urgency: spread(times) for urgency, times in self.completion.items()},
            small_urgent=spread(self.small_urgent),
            small_urgent_run=spread(self.small_urgent_runs),
            mean_slowdown=math.exp(mean_log),
            fragmentation_pct=100.0 * self._stranded_ms / max(self._total_ms, 1),
            utilization_pct=100.0 * self._used_ms / max(self._total_ms, 1),
            reclaims=len(self.reclaims),
            reclaim_longest_ms=max(self.reclaims, default=0),
            reclaims_late=sum(waited_ms > config.reclaim_ms for waited_ms in self.reclaims),
            large_longest_wait_ms=self.large_wait_ms,
            urgent_starts=len(self.urgent_waits),
            urgent_late=len(late),
            urgent_late_possible=sum(late),
            lost_pct=100.0 * self.lost_ms / max(self.work_ms, 1),
            submitted=len(self.lives),
            finished=self.finished,
            cancelled=self.cancelled,
            rejected=dict(self.rejected),
            unfinished=len(unfinished),
            preemptions=self.preemptions,
            samples=self.samples,
        )

    def _note_wait(self, life: Life, waited_ms: int, config: SchedulingConfig) -> None:
        request = life.request
        if life.entitled and not life.started:
            self.reclaims.append(waited_ms)
        if is_large(request):
            self.large_wait_ms = max(self.large_wait_ms, waited_ms)
        if request.urgency is Urgency.URGENT:
            possible = True
            if waited_ms > config.urgent_start_ms:
                possible = self.cluster.could_hold_urgent(request.demand)
            self.urgent_waits.append((waited_ms, possible))

    def _complete(self, life: Life, now_ms: int) -> None:
        request = life.request
        took_ms = now_ms - request.submitted_ms
        self.completion[request.urgency].append(took_ms)
        if request.urgency is Urgency.URGENT and request.demand.members == SMALL_MEMBERS:
            self.small_urgent.append(took_ms)
            self.small_urgent_runs.append(life.run_ms)
        floor_ms = max(life.run_ms, SLOWDOWN_FLOOR_MS)
        self.slowdowns.append(max(took_ms / floor_ms, 1.0))

    def _is_entitled(self, request: PendingRequest, team: Team | None) -> bool:
        """Judge by whole groups: each request of the team uses up as many as it could break."""
        demand = request.demand
        if team is None or not demand.accelerators or not team.guarantee:
            return False
        if not self._has_ordinary_parts(demand):
            return False
        shape = max(team.guarantee, key=lambda s: s.accelerators)
        wanted = demand.members * demand.accelerators
        strict = {Adjacency.WORKER: 0, Adjacency.RACK: 1, Adjacency.ANY: 2}
        if wanted > shape.accelerators or strict[shape.adjacency] > strict[demand.adjacency]:
            return False
        groups = sum(s.count for s in team.guarantee if s.accelerators == shape.accelerators)
        active = 1 + sum(
            max(1, math.ceil(r.demand.members * r.demand.accelerators / shape.accelerators))
            for r in self._active(team.name)
        )
        return active <= groups

    def _has_ordinary_parts(self, demand: Demand) -> bool:
        """Tell whether processor and memory stay within what comes with the accelerators."""
        parts = [
            proportional_resources(worker, demand.accelerators)
            for worker in self.cluster.workers.values()
            if worker.accelerators >= demand.accelerators
        ]
        return bool(parts) and all(
            part.cpu >= demand.cpu_cores and part.memory >= demand.memory_mb for part in parts
        )

    def _active(self, team: str) -> list[PendingRequest]:
        ids = [*self.cluster.runs, *self.waiting]
        requests = [self.lives[request_id].request for request_id in ids]
        return [r for r in requests if r.team == team]

    def _stranded(self, free: int) -> float:
        """Return the free accelerators that no group can use, though compacted they would serve."""
        racks: Counter[str] = Counter()
        workers = 0
        for name, worker in self.cluster.workers.items():
            left = self.cluster.free[name]
            per_slot = min(left.slots, left.accelerators)
            racks[worker.rack] += per_slot
            workers += per_slot // GROUPS[0] * GROUPS[0]
        spread_out = [workers, sum(left // GROUPS[1] * GROUPS[1] for left in racks.values())]
        lost = [
            free // size * size - usable for size, usable in zip(GROUPS, spread_out, strict=True)
        ]
        return sum(max(part, 0) for part in lost) / len(GROUPS)

    def _sample(self, now_ms: int, total: int, used: int) -> Sample:
        names = {name for run in self.cluster.runs.values() for name in run.workers}
        busy = {w.rack for w in self.cluster.workers.values() if w.name in names}
        racks = {worker.rack for worker in self.cluster.workers.values()}
        waiting = Counter(self.lives[request_id].request.urgency for request_id in self.waiting)
        return Sample(now_ms, total, used, len(racks - busy), dict(waiting))
