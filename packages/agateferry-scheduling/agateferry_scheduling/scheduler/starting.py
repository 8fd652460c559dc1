"""One pass over the queue: start what fits, and take back what is owed.

Urgent work goes first, then the teams by fair share. A pass tries a bounded number of groups; those
that it leaves come first in the next one.
"""

from math import log10

from agateferry_core.demand import Urgency
from agateferry_scheduling.placement.first_fit import Counts
from agateferry_scheduling.preemption.claims import Claim
from agateferry_scheduling.preemption.victims import CHECKPOINT_COST_MS, Plan
from agateferry_scheduling.queueing import Group, is_large
from agateferry_scheduling.queueing.reservation import Reservation, reserve
from agateferry_scheduling.scheduler.finder import Finder, backing_of
from agateferry_scheduling.scheduler.messages import Decision, PendingRequest, Preempt, Start
from agateferry_scheduling.scheduler.zone import ZoneState
from agateferry_scheduling.topology import Allocation, Backing

GROUPS_PER_PASS = 24
GROUPS_PER_TEAM = 4
STARTS_PER_GROUP = 4
STARTS_PER_PASS = 32
ROUNDS_PER_PASS = 6
RECLAIM_RETRY_MS = 1_000
AGED_RETRY_MS = 10_000
RESERVATION_CHECK_MS = 5_000
PATIENCE_MS = 120_000
TURN_MS = 30 * 60_000
SIZE_RANK = 0.2
WORKERS_WEIGHED = 12
URGENT_MARGIN_MS = 300


class Starter:
    """Decide what starts now and what is stopped for it."""

    def __init__(self, zone: ZoneState) -> None:
        self._zone = zone
        self._find = Finder(zone)
        self._reserved_ms = -RESERVATION_CHECK_MS

    def start_ready(self, now_ms: int) -> list[Decision]:
        """Start the claims whose workers have become vacant."""
        decisions: list[Decision] = []
        for claim in self._zone.claims.ready():
            self._zone.claims.remove(claim.request_id)
            allocation = claim.allocation
            allocation.started_ms = now_ms
            self._zone.topology.change(allocation, pending=False)
            decisions.append(Start(claim.request_id, allocation.assignments))
        return decisions

    def run(self, now_ms: int) -> list[Decision]:
        """Try waiting groups, urgent ones first."""
        decisions = self._run_tier(self._candidates(True, now_ms), now_ms)
        groups = self._candidates(False, now_ms)
        decisions += self._probe(groups, now_ms)
        decisions += self._run_tier(groups, now_ms)
        decisions += self._serve_reservation(now_ms)
        return decisions

    def try_group(self, group: Group, now_ms: int, limit: int) -> list[Decision]:
        """Start requests of a group until one finds no place."""
        decisions: list[Decision] = []
        while group.requests and len(decisions) < limit:
            found = self._try(group, group.head(), now_ms)
            if not found:
                break
            decisions += found
        return decisions

    def _run_tier(self, groups: list[Group], now_ms: int) -> list[Decision]:
        decisions: list[Decision] = []
        for _ in range(ROUNDS_PER_PASS):
            started = 0
            for group in groups:
                if group.requests and group.tried_ms != now_ms:
                    found = self.try_group(group, now_ms, STARTS_PER_GROUP)
                    started += len(found)
                    decisions += found
                    if len(decisions) >= STARTS_PER_PASS:
                        return decisions
            if not started:
                break
        return decisions

    def _candidates(self, urgent: bool, now_ms: int) -> list[Group]:
        teams = self._zone.queue.by_team[urgent]
        accelerators, slots = self._zone.topology.accelerators, self._zone.topology.slots
        ranked: list[tuple[float, int, Group]] = []
        for team in list(teams):
            share = self._zone.shares.share(team, accelerators, slots)
            for group in self._zone.queue.next_groups(urgent, team, GROUPS_PER_TEAM):
                head = group.head()
                rank = self._zone.shares.rank(share, now_ms - head.submitted_ms)
                rank += self._size_rank(head)
                group.tried_ms = -1
                ranked.append((rank, len(ranked), group))
        ranked.sort()
        return [group for _, _, group in ranked[:GROUPS_PER_PASS]]

    def _size_rank(self, request: PendingRequest) -> float:
        """Let short requests go first, the more so the more completion time weighs."""
        likely_ms = self._zone.estimates.likely_ms(request)
        return self._zone.config.weights.completion_time * SIZE_RANK * log10(likely_ms + 1)

    def _try(self, group: Group, request: PendingRequest, now_ms: int) -> list[Decision]:
        found = self._start_now(group, request, now_ms)
        if not found:
            found = self._take_back(group, request, now_ms)
        if not found:
            group.tried_ms = now_ms
        return found

    def _start_now(self, group: Group, request: PendingRequest, now_ms: int) -> list[Decision]:
        counts = self._find.within_cells(request) if self._may_use_cells(request) else None
        if counts is not None and not (request.preemptible and self._find.breaks_whole(counts)):
            return [self._start(request, counts, Backing.GUARANTEED, now_ms)]
        free = self._search_free(group, request, now_ms)
        if counts is not None and (free is None or self._find.breaks_whole(free)):
            return [self._start(request, counts, Backing.GUARANTEED, now_ms)]
        if free is None:
            return []
        if self._is_patient(request, free, now_ms):
            group.waits_for = "room on a worker that is already in use"
            return []
        covered = request.demand.accelerators > 0 and self._find.cover(request, free)
        backing = Backing.GUARANTEED if covered else backing_of(request)
        return [self._start(request, free, backing, now_ms)]

    def _search_free(self, group: Group, request: PendingRequest, now_ms: int) -> Counts | None:
        if self._find.eats_headroom(request):
            group.waits_for = "slots that are not kept for urgent work"
            return None
        free = self._find.free(request, now_ms, group.searched)
        if free is None:
            group.searched = self._zone.topology.freed.mark()
            where = "" if request.preemptible else " outside the guarantees of other teams"
            group.waits_for = f"{_wanted(request)} free at the same time{where}"
        return free

    def _take_back(self, group: Group, request: PendingRequest, now_ms: int) -> list[Decision]:
        in_haste = request.urgency is Urgency.URGENT or self._may_use_cells(request)
        retry_ms = RECLAIM_RETRY_MS if in_haste else AGED_RETRY_MS
        if group.reclaim_tried_ms >= 0 and now_ms - group.reclaim_tried_ms < retry_ms:
            return []
        found = self._find_victims(request, now_ms)
        group.reclaim_tried_ms = -1 if found else now_ms
        return found

    def _find_victims(self, request: PendingRequest, now_ms: int) -> list[Decision]:
        urgent = request.urgency is Urgency.URGENT
        config = self._zone.config
        if self._may_use_cells(request):
            found = self._find.reclaim(request, now_ms)
            if found is not None:
                by_ms = now_ms + config.reclaim_ms // 2
                if urgent:
                    by_ms = min(by_ms, self._urgent_by(request, now_ms))
                return self._claim(request, found, Backing.GUARANTEED, by_ms, now_ms)
        if urgent:
            names = self._cheap_workers()
            found = self._find.take_back(request, names, _not_urgent, now_ms)
            if found is not None:
                by_ms = self._urgent_by(request, now_ms)
                return self._claim(request, found, backing_of(request), by_ms, now_ms)
        elif now_ms - request.submitted_ms > config.large_wait_ms // 2:
            return self._claim_for_aged(request, now_ms)
        return []

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
        return self._claim(request, found, backing_of(request), by_ms, now_ms)

    def _serve_reservation(self, now_ms: int) -> list[Decision]:
        """Keep one reservation for the oldest blocked gang; overrunning backfill yields to it."""
        zone = self._zone
        reservation = zone.reservation
        if reservation is not None and zone.queue.get(reservation.request.request_id) is None:
            self._drop_reservation()
            reservation = None
        if reservation is not None and now_ms >= reservation.start_ms:
            found = self._yield_to(reservation.request, reservation.workers, now_ms)
            if found:
                self._drop_reservation()
                return found
        if now_ms - self._reserved_ms < RESERVATION_CHECK_MS:
            return []
        if reservation is None or now_ms >= reservation.start_ms or self._is_broken(reservation):
            self._reserved_ms = now_ms
            oldest = zone.queue.oldest_large()
            self._drop_reservation()
            if oldest is not None:
                zone.reservation = reserve(zone.topology, zone.estimates, oldest, now_ms)
        return []

    def _drop_reservation(self) -> None:
        """Let searches look again at the workers that were kept."""
        if self._zone.reservation is not None:
            self._zone.topology.freed.add(self._zone.reservation.workers)
        self._zone.reservation = None

    def _is_broken(self, reservation: Reservation) -> bool:
        workers = self._zone.topology.workers
        return not all(name in workers and workers[name].is_open() for name in reservation.workers)

    def _yield_to(
        self, request: PendingRequest, names: frozenset[str], now_ms: int
    ) -> list[Decision]:
        estimates = self._zone.estimates

        def allowed(allocation: Allocation) -> bool:
            likely_ms = estimates.at_most_ms(allocation.request)
            overrun = now_ms - allocation.started_ms > likely_ms
            return overrun and allocation.started_ms > request.submitted_ms

        found = self._find.take_back(request, sorted(names), allowed, now_ms)
        if found is None:
            return []
        by_ms = now_ms + self._zone.config.reclaim_ms // 2
        return self._claim(request, found, backing_of(request), by_ms, now_ms)

    def _probe(self, groups: list[Group], now_ms: int) -> list[Decision]:
        worker = self._zone.health.probe_due(now_ms)
        state = None if worker is None else self._zone.topology.workers.get(worker)
        if worker is None or state is None or state.draining:
            return []
        for group in groups:
            request = group.head()
            small = request.demand.members == 1 and request.preemptible
            failed_there = worker in self._zone.health.avoided(request.request_id)
            if small and not failed_there and state.room_for(request.demand):
                self._zone.health.probe_started(worker, request.request_id)
                return [self._start(request, {worker: 1}, Backing.BORROWED, now_ms)]
        return []

    def _start(
        self, request: PendingRequest, counts: Counts, backing: Backing, now_ms: int
    ) -> Decision:
        self._zone.queue.remove(request.request_id)
        allocation = self._zone.place(request, counts, backing, now_ms, pending=False)
        self._zone.note_start(request.team, now_ms)
        return Start(request.request_id, allocation.assignments)

    def _claim(
        self,
        request: PendingRequest,
        found: tuple[Counts, Plan],
        backing: Backing,
        by_ms: int,
        now_ms: int,
    ) -> list[Decision]:
        counts, plan = found
        self._zone.queue.remove(request.request_id)
        allocation = self._zone.place(request, counts, backing, now_ms, pending=True)
        self._zone.claims.add(Claim(allocation, by_ms))
        decisions: list[Decision] = []
        for victim in plan.victims:
            self._zone.topology.change(victim, stopping=True)
            decisions.append(Preempt(victim.request.request_id, request.request_id, by_ms))
        return decisions + self.start_ready(now_ms)

    def _may_use_cells(self, request: PendingRequest) -> bool:
        has_cells = bool(self._zone.layout.team_laid[request.team])
        return has_cells and (request.demand.accelerators > 0 or not request.preemptible)

    def _is_patient(self, request: PendingRequest, counts: Counts, now_ms: int) -> bool:
        """Let small work wait a while for a partly used worker where fragmentation weighs."""
        if request.urgency is Urgency.URGENT or is_large(request):
            return False
        weight = self._zone.config.weights.fragmentation
        likely_ms = self._zone.estimates.likely_ms(request)
        patience_ms = weight * weight * min(PATIENCE_MS, likely_ms)
        if now_ms - request.submitted_ms >= patience_ms:
            return False
        return self._find.breaks_whole(counts)

    def _urgent_by(self, request: PendingRequest, now_ms: int) -> int:
        by_ms = request.submitted_ms + self._zone.config.urgent_start_ms - URGENT_MARGIN_MS
        return by_ms if by_ms > now_ms else now_ms + CHECKPOINT_COST_MS

    def _cheap_workers(self) -> list[str]:
        """Return a few workers that hold much borrowed work."""
        states = [w for w in self._zone.topology.open_workers() if w.borrowed.slots > 0]
        states.sort(key=lambda w: (-w.borrowed.slots, w.number))
        return [state.name for state in states[:WORKERS_WEIGHED]]


def _not_urgent(allocation: Allocation) -> bool:
    return allocation.request.urgency is not Urgency.URGENT


def _wanted(request: PendingRequest) -> str:
    demand = request.demand
    each = f"{demand.accelerators} accelerators, {demand.cpu_cores} cores, {demand.memory_mb} MB"
    return f"{demand.members} x ({each}, adjacency {demand.adjacency})"
