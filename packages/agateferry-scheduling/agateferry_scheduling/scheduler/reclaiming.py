"""Claim workers that other work must leave: for guarantees, urgent starts and aged gangs."""

from agateferry_core.demand import Urgency
from agateferry_scheduling.placement.first_fit import MemberCounts
from agateferry_scheduling.preemption.claims import Claim
from agateferry_scheduling.preemption.victims import CHECKPOINT_COST_MS, PreemptionPlan
from agateferry_scheduling.queueing import is_large
from agateferry_scheduling.scheduler.finder import Finder, kind_outside_guarantee
from agateferry_scheduling.scheduler.messages import Decision, PendingRequest, Preempt, Start
from agateferry_scheduling.scheduler.zone import ZoneState
from agateferry_scheduling.topology import Allocation, AllocationKind

TURN_MS = 30 * 60_000
WORKERS_WEIGHED = 48
URGENT_MARGIN_MS = 300


class Reclaimer:
    """Decide what is stopped for a request, and start it once its workers are vacant.

    A team takes its own shapes back at once. Urgent work takes borrowed work that is cheap to stop.
    A gang that has waited for half of the stated bound takes turns with other borrowed work.
    """

    def __init__(self, zone: ZoneState, finder: Finder) -> None:
        self._zone = zone
        self._find = finder

    def start_ready(self, now_ms: int) -> list[Decision]:
        """Start the claims whose workers have become vacant."""
        decisions: list[Decision] = []
        for claim in self._zone.claims.ready():
            self._zone.claims.remove(claim.request_id)
            allocation = claim.allocation
            allocation.started_ms = now_ms
            self._zone.topology.update_allocation(allocation, pending=False)
            decisions.append(Start(claim.request_id, allocation.assignments))
        return decisions

    def take_back(self, request: PendingRequest, now_ms: int) -> list[Decision]:
        """Claim workers for a request that may take some back, or return nothing."""
        urgent = request.urgency is Urgency.URGENT
        config = self._zone.config
        if may_use_cells(self._zone, request):
            found = self._find.reclaim(request, now_ms)
            if found is not None:
                by_ms = now_ms + config.reclaim_ms // 2
                if urgent:
                    by_ms = min(by_ms, self._urgent_by(request, now_ms))
                return self._claim(request, found, AllocationKind.GUARANTEED, by_ms, now_ms)
        if urgent:
            names = self._cheap_workers(request)
            found = self._find.take_back(request, names, _not_urgent, now_ms)
            if found is not None:
                by_ms = self._urgent_by(request, now_ms)
                return self._claim(request, found, kind_outside_guarantee(request), by_ms, now_ms)
        elif now_ms - request.submitted_ms > config.large_wait_ms // 2:
            return self._claim_for_aged(request, now_ms)
        return []

    def yield_to(
        self, request: PendingRequest, names: frozenset[str], now_ms: int
    ) -> list[Decision]:
        """Claim reserved workers from later work that overran its likely run time."""
        estimates = self._zone.estimates

        def allowed(allocation: Allocation) -> bool:
            likely_ms = estimates.at_most_ms(allocation.request)
            overrun = now_ms - allocation.started_ms > likely_ms
            return overrun and allocation.started_ms > request.submitted_ms

        found = self._find.take_back(request, sorted(names), allowed, now_ms)
        if found is None:
            return []
        by_ms = now_ms + self._zone.config.reclaim_ms // 2
        return self._claim(request, found, kind_outside_guarantee(request), by_ms, now_ms)

    def _claim_for_aged(self, request: PendingRequest, now_ms: int) -> list[Decision]:
        if not is_large(request):
            return []
        limit_ms = self._zone.config.large_wait_ms // 2

        def allowed(allocation: Allocation) -> bool:
            other = allocation.request
            is_young = allocation.started_ms - other.submitted_ms < limit_ms
            had_turn = now_ms - allocation.started_ms >= TURN_MS and other.checkpointable
            return _not_urgent(allocation) and (is_young or had_turn)

        topology = self._zone.topology
        accelerated = request.demand.accelerators > 0
        names = list(topology.index.accelerated if accelerated else topology.workers)
        found = self._find.take_back(request, names, allowed, now_ms)
        if found is None:
            return []
        by_ms = now_ms + self._zone.config.reclaim_ms // 2
        return self._claim(request, found, kind_outside_guarantee(request), by_ms, now_ms)

    def _claim(
        self,
        request: PendingRequest,
        found: tuple[MemberCounts, PreemptionPlan],
        kind: AllocationKind,
        by_ms: int,
        now_ms: int,
    ) -> list[Decision]:
        counts, plan = found
        self._zone.queue.remove(request.request_id)
        allocation = self._zone.place(request, counts, kind, now_ms, pending=True)
        self._zone.claims.add(Claim(allocation, by_ms))
        decisions: list[Decision] = []
        for victim in plan.victims:
            self._zone.topology.update_allocation(victim, stopping=True)
            decisions.append(Preempt(victim.request.request_id, request.request_id, by_ms))
        return decisions + self.start_ready(now_ms)

    def _urgent_by(self, request: PendingRequest, now_ms: int) -> int:
        by_ms = request.submitted_ms + self._zone.config.urgent_start_ms - URGENT_MARGIN_MS
        return by_ms if by_ms > now_ms else now_ms + CHECKPOINT_COST_MS

    def _cheap_workers(self, request: PendingRequest) -> list[str]:
        """Return workers that hold borrowed work, those without accelerators first."""
        topology = self._zone.topology
        wanted = request.demand.accelerators > 0
        pool = topology.index.accelerated if wanted else topology.workers
        states = [w for w in pool.values() if w.borrowed.slots > 0 and w.is_schedulable()]
        states.sort(key=lambda w: (w.worker.accelerators, -w.borrowed.slots, w.join_number))
        return [state.name for state in (states if wanted else states[:WORKERS_WEIGHED])]


def may_use_cells(zone: ZoneState, request: PendingRequest) -> bool:
    """Tell whether a request is of the kind that its team's cells are for."""
    has_cells = bool(zone.layout.team_cell_accelerators[request.team])
    return has_cells and (request.demand.accelerators > 0 or not request.preemptible)


def _not_urgent(allocation: Allocation) -> bool:
    return allocation.request.urgency is not Urgency.URGENT
