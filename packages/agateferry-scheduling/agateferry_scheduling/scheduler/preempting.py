"""Preempt running work for guarantees, urgent requests and gangs that waited long."""

from agateferry_core.demand import Urgency
from agateferry_scheduling.placement.first_fit import MemberCounts
from agateferry_scheduling.preemption.claims import Claim
from agateferry_scheduling.preemption.victims import CHECKPOINT_COST_MS, PreemptionPlan
from agateferry_scheduling.queueing import is_large
from agateferry_scheduling.scheduler.finder import PlacementFinder, kind_outside_cells
from agateferry_scheduling.scheduler.messages import Decision, PendingRequest, Preempt, Start
from agateferry_scheduling.scheduler.zone import ZoneState
from agateferry_scheduling.topology import Allocation, AllocationKind

TIME_SLICE_MS = 30 * 60_000
MAX_WORKERS_FOR_CPU_DEMAND = 48
URGENT_START_MARGIN_MS = 300


class Preemptor:
    """Choose the work to preempt for a request, and start the request once its workers are vacant.

    A team reclaims its guaranteed shapes at once. An urgent request preempts the borrowed work that
    is cheapest to stop. A gang that has waited for half of `large_wait_ms` preempts borrowed work
    that waited less than that before its start, or that has had a time slice and can checkpoint.
    """

    def __init__(self, zone: ZoneState, finder: PlacementFinder) -> None:
        self._zone = zone
        self._finder = finder

    def start_ready(self, now_ms: int) -> list[Decision]:
        """Start the requests of claims whose workers have become vacant."""
        decisions: list[Decision] = []
        for claim in self._zone.claims.ready():
            self._zone.claims.remove(claim.request_id)
            allocation = claim.allocation
            allocation.started_ms = now_ms
            self._zone.topology.update_allocation(allocation, pending=False)
            decisions.append(Start(claim.request_id, allocation.assignments))
        return decisions

    def preempt_for(self, request: PendingRequest, now_ms: int) -> list[Decision]:
        """Claim workers for a request that may preempt others, or return no decisions."""
        urgent = request.urgency is Urgency.URGENT
        config = self._zone.config
        if may_use_cells(self._zone, request):
            found = self._finder.find_reclaim(request, now_ms)
            if found is not None:
                stop_by_ms = now_ms + config.reclaim_ms // 2
                if urgent:
                    stop_by_ms = min(stop_by_ms, self._urgent_stop_by_ms(request, now_ms))
                return self._claim(request, found, AllocationKind.GUARANTEED, stop_by_ms, now_ms)
        if urgent:
            names = self._workers_with_borrowed_work(request)
            found = self._finder.find_preemption(request, names, _is_not_urgent, now_ms)
            if found is not None:
                stop_by_ms = self._urgent_stop_by_ms(request, now_ms)
                return self._claim(request, found, kind_outside_cells(request), stop_by_ms, now_ms)
        elif now_ms - request.submitted_ms > config.large_wait_ms // 2:
            return self._preempt_for_aged_gang(request, now_ms)
        return []

    def preempt_overrunning(
        self, request: PendingRequest, names: frozenset[str], now_ms: int
    ) -> list[Decision]:
        """Claim reserved workers from later work that overran its estimated run time."""
        estimates = self._zone.estimates

        def allowed(allocation: Allocation) -> bool:
            run_ms = estimates.at_most_ms(allocation.request)
            overrun = now_ms - allocation.started_ms > run_ms
            return overrun and allocation.started_ms > request.submitted_ms

        found = self._finder.find_preemption(request, sorted(names), allowed, now_ms)
        if found is None:
            return []
        stop_by_ms = now_ms + self._zone.config.reclaim_ms // 2
        return self._claim(request, found, kind_outside_cells(request), stop_by_ms, now_ms)

    def _preempt_for_aged_gang(self, request: PendingRequest, now_ms: int) -> list[Decision]:
        if not is_large(request):
            return []
        limit_ms = self._zone.config.large_wait_ms // 2

        def allowed(allocation: Allocation) -> bool:
            other = allocation.request
            had_short_wait = allocation.started_ms - other.submitted_ms < limit_ms
            had_time_slice = (
                now_ms - allocation.started_ms >= TIME_SLICE_MS and other.checkpointable
            )
            return _is_not_urgent(allocation) and (had_short_wait or had_time_slice)

        topology = self._zone.topology
        needs_accelerators = request.demand.accelerators > 0
        names = list(topology.index.accelerated if needs_accelerators else topology.workers)
        found = self._finder.find_preemption(request, names, allowed, now_ms)
        if found is None:
            return []
        stop_by_ms = now_ms + self._zone.config.reclaim_ms // 2
        return self._claim(request, found, kind_outside_cells(request), stop_by_ms, now_ms)

    def _claim(
        self,
        request: PendingRequest,
        found: tuple[MemberCounts, PreemptionPlan],
        kind: AllocationKind,
        stop_by_ms: int,
        now_ms: int,
    ) -> list[Decision]:
        counts, plan = found
        self._zone.queue.remove(request.request_id)
        allocation = self._zone.place(request, counts, kind, now_ms, pending=True)
        self._zone.claims.add(Claim(allocation, stop_by_ms))
        decisions: list[Decision] = []
        for victim in plan.victims:
            self._zone.topology.update_allocation(victim, stopping=True)
            decisions.append(Preempt(victim.request.request_id, request.request_id, stop_by_ms))
        return decisions + self.start_ready(now_ms)

    def _urgent_stop_by_ms(self, request: PendingRequest, now_ms: int) -> int:
        stop_by_ms = (
            request.submitted_ms + self._zone.config.urgent_start_ms - URGENT_START_MARGIN_MS
        )
        return stop_by_ms if stop_by_ms > now_ms else now_ms + CHECKPOINT_COST_MS

    def _workers_with_borrowed_work(self, request: PendingRequest) -> list[str]:
        """Return workers that run borrowed work, those without accelerators first."""
        topology = self._zone.topology
        needs_accelerators = request.demand.accelerators > 0
        pool = topology.index.accelerated if needs_accelerators else topology.workers
        states = [w for w in pool.values() if w.borrowed.slots > 0 and w.is_schedulable()]
        states.sort(key=lambda w: (w.worker.accelerators, -w.borrowed.slots, w.join_number))
        return [
            state.name
            for state in (states if needs_accelerators else states[:MAX_WORKERS_FOR_CPU_DEMAND])
        ]


def may_use_cells(zone: ZoneState, request: PendingRequest) -> bool:
    """Return whether a request may be placed in its team's cells."""
    has_cells = bool(zone.layout.team_cell_accelerators[request.team])
    return has_cells and (request.demand.accelerators > 0 or not request.preemptible)


def _is_not_urgent(allocation: Allocation) -> bool:
    return allocation.request.urgency is not Urgency.URGENT
