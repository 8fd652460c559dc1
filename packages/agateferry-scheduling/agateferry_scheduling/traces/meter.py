"""Collect the measures of a replay while it runs."""

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
from agateferry_scheduling.traces.report import Report, Sample, percentiles_of

SAMPLE_INTERVAL_MS = 60_000
GROUP_SIZES = (8, 32)  # accelerators on one worker and in one rack
SMALL_MEMBERS = 1
MIN_SLOWDOWN_RUN_MS = 10_000  # shorter runs count as this long in the slowdown


@dataclass(slots=True)
class TrackedRequest:
    """A request of the replay and its state.

    `run_ms` is its real run time. `waiting_since_ms` is None from a start until it is requeued.
    `is_guaranteed` is whether the guarantee of its team covered it when it was queued.
    """

    request: PendingRequest
    run_ms: int
    waiting_since_ms: int | None
    is_guaranteed: bool = False
    has_started: bool = False
    has_ended: bool = False


@dataclass
class Meter:
    """Collect times and integrals over time; `report` computes the measures from them.

    Integrals run up to `until_ms`, the last line of the trace, so that they cover the same time
    under each policy. Lists of times are in milliseconds. Work, lost work and the integrals are in
    accelerator-milliseconds; a member without accelerators counts as one accelerator in work.
    `urgent_waits` has the wait of each urgent start, and whether it could have started in time.
    """

    cluster: Cluster
    until_ms: int
    requests: dict[str, TrackedRequest] = field(default_factory=dict)
    waiting: dict[str, None] = field(default_factory=dict)
    completion_ms: dict[Urgency, list[int]] = field(
        default_factory=lambda: {urgency: [] for urgency in Urgency}
    )
    small_urgent_ms: list[int] = field(default_factory=list)
    small_urgent_run_ms: list[int] = field(default_factory=list)
    slowdowns: list[float] = field(default_factory=list)
    reclaim_waits_ms: list[int] = field(default_factory=list)
    urgent_waits: list[tuple[int, bool]] = field(default_factory=list)
    longest_large_wait_ms: int = 0
    rejected: Counter[str] = field(default_factory=Counter)
    finished: int = 0
    cancelled: int = 0
    preemptions: int = 0
    work_accelerator_ms: int = 0
    lost_accelerator_ms: int = 0
    samples: list[Sample] = field(default_factory=list)
    _integrated_until_ms: int = 0
    _stranded_accelerator_ms: float = 0.0
    _used_accelerator_ms: int = 0
    _total_accelerator_ms: int = 0

    def advance(self, now_ms: int) -> None:
        """Add the time since the last call to the integrals, and take a sample when one is due."""
        elapsed_ms = min(now_ms, self.until_ms) - self._integrated_until_ms
        self._integrated_until_ms = max(min(now_ms, self.until_ms), self._integrated_until_ms)
        if elapsed_ms <= 0 or not self.cluster.workers:
            return
        total = sum(worker.accelerators for worker in self.cluster.workers.values())
        free = sum(resources.accelerators for resources in self.cluster.free.values())
        self._total_accelerator_ms += total * elapsed_ms
        self._used_accelerator_ms += (total - free) * elapsed_ms
        self._stranded_accelerator_ms += self._stranded(free) * elapsed_ms
        if not self.samples or now_ms - self.samples[-1].at_ms >= SAMPLE_INTERVAL_MS:
            self.samples.append(self._sample(now_ms, total, total - free))

    def record_queued(
        self, request: PendingRequest, run_ms: int, teams: dict[str, Team], now_ms: int
    ) -> None:
        """Record a new request, and whether its team's guarantee covers it."""
        tracked = TrackedRequest(request, run_ms, now_ms)
        tracked.is_guaranteed = self._is_guaranteed(request, teams.get(request.team))
        self.requests[request.request_id] = tracked
        self.waiting[request.request_id] = None

    def record_start(self, request: PendingRequest, config: SchedulingConfig, now_ms: int) -> None:
        """Record a start and how long the request waited for it."""
        tracked = self.requests[request.request_id]
        since_ms = (
            request.submitted_ms if tracked.waiting_since_ms is None else tracked.waiting_since_ms
        )
        waited_ms = now_ms - since_ms
        self.waiting.pop(request.request_id, None)
        self._record_wait(tracked, waited_ms, config)
        tracked.has_started = True
        tracked.waiting_since_ms = None

    def record_preemption(self, run: Run, kept_ms: int, now_ms: int) -> None:
        """Record a preemption, after which the request waits again.

        `kept_ms` is the run time that a checkpoint saved; the rest of the run is lost work.
        """
        request = run.request
        run_ms = now_ms - run.started_ms
        accelerators = request.demand.members * max(request.demand.accelerators, 1)
        self.preemptions += 1
        self.work_accelerator_ms += run_ms * accelerators
        self.lost_accelerator_ms += (run_ms - kept_ms) * accelerators
        self.record_requeue(request.request_id, now_ms)

    def record_requeue(self, request_id: str, now_ms: int) -> None:
        """Record that a request waits again."""
        self.requests[request_id].waiting_since_ms = now_ms
        self.waiting[request_id] = None

    def record_end(self, run: Run, finished: bool, now_ms: int) -> None:
        """Record the end of a request; only a finished one has a completion time."""
        request = run.request
        tracked = self.requests[request.request_id]
        accelerators = request.demand.members * max(request.demand.accelerators, 1)
        self.work_accelerator_ms += (now_ms - run.started_ms) * accelerators
        tracked.has_ended = True
        if finished:
            self.finished += 1
            self._record_completion(tracked, now_ms)

    def record_cancellation(self, request_id: str, config: SchedulingConfig, now_ms: int) -> None:
        """Record a cancellation; the wait counts only where it had already passed a bound."""
        tracked = self.requests[request_id]
        self.cancelled += 1
        if tracked.waiting_since_ms is not None:
            waited_ms = now_ms - tracked.waiting_since_ms
            if waited_ms > min(config.urgent_start_ms, config.reclaim_ms):
                self._record_wait(tracked, waited_ms, config)
        self._mark_ended(tracked)

    def record_rejection(self, request_id: str, reason: str) -> None:
        """Record a rejection."""
        self.rejected[reason] += 1
        self._mark_ended(self.requests[request_id])

    def _mark_ended(self, tracked: TrackedRequest) -> None:
        self.waiting.pop(tracked.request.request_id, None)
        tracked.has_ended = True

    def report(self, trace: str, policy: str, config: SchedulingConfig, end_ms: int) -> Report:
        """Return the measures; a request that has not ended counts with its time until `end_ms`."""
        unfinished = [tracked for tracked in self.requests.values() if not tracked.has_ended]
        for tracked in unfinished:
            self._record_completion(tracked, end_ms)
            if tracked.waiting_since_ms is not None:
                self._record_wait(tracked, end_ms - tracked.waiting_since_ms, config)
        late = [
            was_possible
            for waited_ms, was_possible in self.urgent_waits
            if waited_ms > config.urgent_start_ms
        ]
        mean_log = sum(math.log(slowdown) for slowdown in self.slowdowns) / max(
            len(self.slowdowns), 1
        )
        return Report(
            trace,
            policy,
            completion={
                urgency: percentiles_of(times) for urgency, times in self.completion_ms.items()
            },
            small_urgent=percentiles_of(self.small_urgent_ms),
            small_urgent_run=percentiles_of(self.small_urgent_run_ms),
            mean_slowdown=math.exp(mean_log),
            fragmentation_pct=100.0
            * self._stranded_accelerator_ms
            / max(self._total_accelerator_ms, 1),
            utilization_pct=100.0 * self._used_accelerator_ms / max(self._total_accelerator_ms, 1),
            reclaims=len(self.reclaim_waits_ms),
            reclaim_longest_ms=max(self.reclaim_waits_ms, default=0),
            reclaims_late=sum(waited_ms > config.reclaim_ms for waited_ms in self.reclaim_waits_ms),
            large_longest_wait_ms=self.longest_large_wait_ms,
            urgent_starts=len(self.urgent_waits),
            urgent_late=len(late),
            urgent_late_possible=sum(late),
            lost_pct=100.0 * self.lost_accelerator_ms / max(self.work_accelerator_ms, 1),
            submitted=len(self.requests),
            finished=self.finished,
            cancelled=self.cancelled,
            rejected=dict(self.rejected),
            unfinished=len(unfinished),
            preemptions=self.preemptions,
            samples=self.samples,
        )

    def _record_wait(
        self, tracked: TrackedRequest, waited_ms: int, config: SchedulingConfig
    ) -> None:
        request = tracked.request
        if tracked.is_guaranteed and not tracked.has_started:
            self.reclaim_waits_ms.append(waited_ms)
        if is_large(request):
            self.longest_large_wait_ms = max(self.longest_large_wait_ms, waited_ms)
        if request.urgency is Urgency.URGENT:
            was_possible = True
            if waited_ms > config.urgent_start_ms:
                was_possible = self.cluster.could_fit_urgent(request.demand)
            self.urgent_waits.append((waited_ms, was_possible))

    def _record_completion(self, tracked: TrackedRequest, now_ms: int) -> None:
        request = tracked.request
        completion_ms = now_ms - request.submitted_ms
        self.completion_ms[request.urgency].append(completion_ms)
        if request.urgency is Urgency.URGENT and request.demand.members == SMALL_MEMBERS:
            self.small_urgent_ms.append(completion_ms)
            self.small_urgent_run_ms.append(tracked.run_ms)
        reference_run_ms = max(tracked.run_ms, MIN_SLOWDOWN_RUN_MS)
        self.slowdowns.append(max(completion_ms / reference_run_ms, 1.0))

    def _is_guaranteed(self, request: PendingRequest, team: Team | None) -> bool:
        """Return whether the team's guarantee covers a new request.

        Guarantees are counted in groups of the team's largest shape. Each waiting or running
        request of the team takes as many whole groups as its accelerators need, and at least one.
        """
        demand = request.demand
        if team is None or not demand.accelerators or not team.guarantee:
            return False
        if not self._is_proportional(demand):
            return False
        shape = max(team.guarantee, key=lambda shape: shape.accelerators)
        wanted = demand.members * demand.accelerators
        adjacency_order = {Adjacency.WORKER: 0, Adjacency.RACK: 1, Adjacency.ANY: 2}
        if (
            wanted > shape.accelerators
            or adjacency_order[shape.adjacency] > adjacency_order[demand.adjacency]
        ):
            return False
        groups = sum(s.count for s in team.guarantee if s.accelerators == shape.accelerators)
        active = 1 + sum(
            max(1, math.ceil(r.demand.members * r.demand.accelerators / shape.accelerators))
            for r in self._active(team.name)
        )
        return active <= groups

    def _is_proportional(self, demand: Demand) -> bool:
        """Return whether cores and memory are within the proportional part of the accelerators.

        Every worker with enough accelerators must have that much for them.
        """
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
        requests = [self.requests[request_id].request for request_id in ids]
        return [r for r in requests if r.team == team]

    def _stranded(self, free: int) -> float:
        """Return the free accelerators that are unusable for groups, as a mean over group sizes.

        For each size, these are the accelerators in groups that would fit if all free ones were
        together, less those in groups that fit now: on one worker for the first of `GROUP_SIZES`,
        in one rack for the second.
        """
        free_by_rack: Counter[str] = Counter()
        on_workers = 0
        for name, worker in self.cluster.workers.items():
            free_here = self.cluster.free[name]
            usable = min(free_here.slots, free_here.accelerators)
            free_by_rack[worker.rack] += usable
            on_workers += usable // GROUP_SIZES[0] * GROUP_SIZES[0]
        usable_by_size = [
            on_workers,
            sum(
                free_here // GROUP_SIZES[1] * GROUP_SIZES[1] for free_here in free_by_rack.values()
            ),
        ]
        stranded = [
            free // size * size - usable
            for size, usable in zip(GROUP_SIZES, usable_by_size, strict=True)
        ]
        return sum(max(part, 0) for part in stranded) / len(GROUP_SIZES)

    def _sample(self, now_ms: int, total: int, used: int) -> Sample:
        busy_workers = {name for run in self.cluster.runs.values() for name in run.workers}
        busy_racks = {
            worker.rack for worker in self.cluster.workers.values() if worker.name in busy_workers
        }
        racks = {worker.rack for worker in self.cluster.workers.values()}
        waiting = Counter(self.requests[request_id].request.urgency for request_id in self.waiting)
        return Sample(now_ms, total, used, len(racks - busy_racks), dict(waiting))
