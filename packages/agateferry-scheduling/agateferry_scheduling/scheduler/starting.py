"""One pass over the queue: start the requests that fit and preempt work for those that may.

Urgent requests come first, then the teams by fair share. A pass tries a bounded number of groups;
groups that it does not reach come first in the next pass.
"""

from math import log10

from agateferry_core.demand import Urgency
from agateferry_scheduling.placement.first_fit import MemberCounts
from agateferry_scheduling.placement.stranding import largest_rack_group, stranding_change
from agateferry_scheduling.queueing import RequestGroup, is_large
from agateferry_scheduling.scheduler.finder import PlacementFinder, kind_outside_cells
from agateferry_scheduling.scheduler.messages import Decision, PendingRequest, Start
from agateferry_scheduling.scheduler.preempting import Preemptor, may_use_cells
from agateferry_scheduling.scheduler.reserving import Reserver
from agateferry_scheduling.scheduler.zone import ZoneState
from agateferry_scheduling.topology import AllocationKind

MAX_GROUPS_PER_PASS = 24
MAX_GROUPS_RANKED = 64
MAX_STARTS_PER_GROUP = 4
MAX_STARTS_PER_PASS = 32
MAX_ROUNDS_PER_PASS = 6
PREEMPTION_RETRY_MS = 1_000
AGED_PREEMPTION_RETRY_MS = 10_000
MAX_COMPACT_PLACEMENT_WAIT_MS = 300_000
RUN_TIME_RANK_WEIGHT = 1.0


class Starter:
    """Decide which requests start now and what is preempted for them."""

    def __init__(self, zone: ZoneState, finder: PlacementFinder, preemptor: Preemptor) -> None:
        self._zone = zone
        self._finder = finder
        self._preemptor = preemptor
        self._reserver = Reserver(zone, preemptor)

    def run_pass(self, now_ms: int) -> list[Decision]:
        """Try to start waiting groups, urgent ones first."""
        decisions = self._run_tier(self._candidate_groups(True, now_ms), now_ms)
        groups = self._candidate_groups(False, now_ms)
        decisions += self._probe(groups, now_ms)
        decisions += self._run_tier(groups, now_ms)
        decisions += self._reserver.update(now_ms)
        return decisions

    def try_group(self, group: RequestGroup, now_ms: int, limit: int) -> list[Decision]:
        """Start requests of a group until one cannot be placed or the limit is reached."""
        decisions: list[Decision] = []
        while group.requests and len(decisions) < limit:
            found = self._try_request(group, group.head(), now_ms)
            if not found:
                break
            decisions += found
        return decisions

    def _run_tier(self, groups: list[RequestGroup], now_ms: int) -> list[Decision]:
        decisions: list[Decision] = []
        for _ in range(MAX_ROUNDS_PER_PASS):
            started = 0
            for group in groups:
                if group.requests and group.tried_ms != now_ms:
                    found = self.try_group(group, now_ms, MAX_STARTS_PER_GROUP)
                    started += len(found)
                    decisions += found
                    if len(decisions) >= MAX_STARTS_PER_PASS:
                        return decisions
            if not started:
                break
        return decisions

    def _candidate_groups(self, urgent: bool, now_ms: int) -> list[RequestGroup]:
        teams = self._zone.queue.by_team[urgent]
        accelerators, slots = self._zone.topology.accelerators, self._zone.topology.slots
        limit = MAX_GROUPS_RANKED // max(len(teams), 1)
        ranked: list[tuple[float, int, RequestGroup]] = []
        for team in list(teams):
            share = self._zone.shares.dominant_share(team, accelerators, slots)
            for group in self._zone.queue.next_groups(urgent, team, limit):
                head = group.head()
                rank = self._zone.shares.rank(share, now_ms - head.submitted_ms)
                rank += self._run_time_rank(head)
                group.tried_ms = -1
                ranked.append((rank, len(ranked), group))
        ranked.sort()
        return [group for _, _, group in ranked[:MAX_GROUPS_PER_PASS]]

    def _run_time_rank(self, request: PendingRequest) -> float:
        """Rank short requests first, in proportion to the weight of completion time."""
        likely_ms = self._zone.estimates.likely_ms(request)
        return (
            self._zone.config.weights.completion_time * RUN_TIME_RANK_WEIGHT * log10(likely_ms + 1)
        )

    def _try_request(
        self, group: RequestGroup, request: PendingRequest, now_ms: int
    ) -> list[Decision]:
        found = self._start_without_preemption(group, request, now_ms)
        if not found:
            found = self._preempt(group, request, now_ms)
        if not found:
            group.tried_ms = now_ms
        return found

    def _start_without_preemption(
        self, group: RequestGroup, request: PendingRequest, now_ms: int
    ) -> list[Decision]:
        in_cells = self._search_cells(group, request)
        if in_cells is not None and not request.preemptible:
            return [self._start(request, in_cells, AllocationKind.GUARANTEED, now_ms)]
        free = self._search_free(group, request, now_ms)
        if in_cells is not None and (
            free is None or not self._finder.is_cheaper(request, free, in_cells)
        ):
            return [self._start(request, in_cells, AllocationKind.GUARANTEED, now_ms)]
        if free is None:
            return []
        if self._waits_for_compact_placement(request, free, now_ms):
            group.waits_for = "a placement that leaves no free accelerators stranded"
            return []
        return [self._start_on_free(request, free, now_ms)]

    def _start_on_free(self, request: PendingRequest, free: MemberCounts, now_ms: int) -> Decision:
        """Start on free workers, within the team's cells if these can be moved there."""
        if request.demand.accelerators > 0 and self._finder.cover_with_cells(request, free):
            return self._start(request, free, AllocationKind.GUARANTEED, now_ms)
        if is_large(request) and may_use_cells(self._zone, request):
            in_cells = self._finder.find_in_cells(request)
            if in_cells is not None:
                return self._start(request, in_cells, AllocationKind.GUARANTEED, now_ms)
        return self._start(request, free, kind_outside_cells(request), now_ms)

    def _search_cells(self, group: RequestGroup, request: PendingRequest) -> MemberCounts | None:
        """Search the team's cells, unless nothing was freed there since the last search."""
        if not may_use_cells(self._zone, request):
            return None
        freed = (
            self._zone.topology.freed_log.since(group.searched_position)
            if group.searched_position >= 0
            else None
        )
        if freed is not None:
            own = self._zone.layout.team_cell_accelerators[request.team]
            if not any(name in own for name in freed):
                return None
        return self._finder.find_in_cells(request)

    def _search_free(
        self, group: RequestGroup, request: PendingRequest, now_ms: int
    ) -> MemberCounts | None:
        if self._finder.uses_urgent_headroom(request):
            group.waits_for = "slots beyond those kept free for urgent work"
            return None
        free = self._finder.find_free(request, now_ms, group.searched_position)
        if free is None:
            group.searched_position = self._zone.topology.freed_log.end_position()
            where = "" if request.preemptible else " outside the guarantees of other teams"
            group.waits_for = f"{_describe_demand(request)} free at the same time{where}"
        return free

    def _preempt(self, group: RequestGroup, request: PendingRequest, now_ms: int) -> list[Decision]:
        is_time_critical = request.urgency is Urgency.URGENT or may_use_cells(self._zone, request)
        retry_ms = PREEMPTION_RETRY_MS if is_time_critical else AGED_PREEMPTION_RETRY_MS
        if group.reclaim_tried_ms >= 0 and now_ms - group.reclaim_tried_ms < retry_ms:
            return []
        found = self._preemptor.preempt_for(request, now_ms)
        group.reclaim_tried_ms = -1 if found else now_ms
        return found

    def _probe(self, groups: list[RequestGroup], now_ms: int) -> list[Decision]:
        worker = self._zone.health.probe_due(now_ms)
        state = None if worker is None else self._zone.topology.workers.get(worker)
        if worker is None or state is None or state.draining or state.evacuated:
            return []
        for group in groups:
            request = group.head()
            small = request.demand.members == 1 and request.preemptible
            failed_there = worker in self._zone.health.failed_workers_of(request.request_id)
            if small and not failed_there and state.fitting_members(request.demand):
                self._zone.health.record_probe_start(worker, request.request_id)
                return [self._start(request, {worker: 1}, AllocationKind.BORROWED, now_ms)]
        return []

    def _start(
        self, request: PendingRequest, counts: MemberCounts, kind: AllocationKind, now_ms: int
    ) -> Decision:
        self._zone.queue.remove(request.request_id)
        allocation = self._zone.place(request, counts, kind, now_ms, pending=False)
        self._zone.record_start(request.team, now_ms)
        return Start(request.request_id, allocation.assignments)

    def _waits_for_compact_placement(
        self, request: PendingRequest, counts: MemberCounts, now_ms: int
    ) -> bool:
        """Return whether a request still waits for a placement that strands no accelerators.

        The longest wait grows with the square of the weight of fragmentation.
        """
        weight = self._zone.config.weights.fragmentation
        if request.urgency is Urgency.URGENT or not request.demand.accelerators:
            return False
        likely_ms = self._zone.estimates.likely_ms(request)
        max_wait_ms = weight * weight * min(MAX_COMPACT_PLACEMENT_WAIT_MS, likely_ms)
        if now_ms - request.submitted_ms >= max_wait_ms:
            return False
        topology, layout = self._zone.topology, self._zone.layout
        return stranding_change(topology, request.demand, counts, largest_rack_group(layout)) > 0


def _describe_demand(request: PendingRequest) -> str:
    demand = request.demand
    each = f"{demand.accelerators} accelerators, {demand.cpu_cores} cores, {demand.memory_mb} MB"
    return f"{demand.members} x ({each}, adjacency {demand.adjacency})"
