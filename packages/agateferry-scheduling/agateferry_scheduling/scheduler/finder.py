"""Find workers on which a request can start now, or after other work is preempted."""

from collections.abc import Iterable, Iterator

from agateferry_core.demand import Adjacency, Demand, Urgency
from agateferry_scheduling.guarantees import Cell
from agateferry_scheduling.placement.choice import Candidate, choose
from agateferry_scheduling.placement.cost import placement_cost
from agateferry_scheduling.placement.first_fit import MemberCounts
from agateferry_scheduling.preemption.victims import PreemptionPlan, VictimFilter, plan_preemption
from agateferry_scheduling.queueing import is_large
from agateferry_scheduling.queueing.reservation import Reservation
from agateferry_scheduling.scheduler.messages import PendingRequest
from agateferry_scheduling.scheduler.zone import ZoneState
from agateferry_scheduling.topology import AllocationKind, WorkerState

MAX_CANDIDATES_SINGLE_MEMBER = 48
MAX_WORKERS_COMPARED = 12
MAX_RACKS_COMPARED = 3


class PlacementFinder:
    """Find placements: within the team's cells, on other free workers, or by preemption."""

    def __init__(self, zone: ZoneState) -> None:
        self._zone = zone

    def find_in_cells(self, request: PendingRequest) -> MemberCounts | None:
        """Return a placement on free workers within the team's cells."""
        demand = request.demand
        layout = self._zone.layout
        candidates = []
        for state in self._cell_workers(request):
            max_members = min(
                state.fitting_members(demand), layout.fitting_in_cells(request.team, state, demand)
            )
            if max_members:
                candidates.append(self._candidate(state, max_members, demand))
        return choose(candidates, demand)

    def find_free(
        self, request: PendingRequest, now_ms: int, searched: int = -1
    ) -> MemberCounts | None:
        """Return a placement on free workers that are not reserved for another request.

        Workers on which nothing was freed since the position `searched` of the freed log are
        skipped. Requests that are not preemptible are placed only where they break no guarantee.
        """
        demand = request.demand
        ends_ms = now_ms + self._zone.estimates.at_most_ms(request)
        reservation = self._binding_reservation(request)
        candidates = []
        for state in self._open_workers(request, searched):
            max_members = state.fitting_members(demand)
            if not max_members or (
                reservation is not None and reservation.blocks(state.name, ends_ms)
            ):
                continue
            if not request.preemptible:
                max_members = min(
                    max_members, self._zone.layout.slack(state).fitting_members(demand)
                )
            if max_members:
                candidates.append(self._candidate(state, max_members, demand))
                if len(candidates) >= MAX_CANDIDATES_SINGLE_MEMBER and demand.members == 1:
                    break
        return choose(candidates, demand)

    def cover_with_cells(self, request: PendingRequest, counts: MemberCounts) -> bool:
        """Move the team's unused cells onto these workers; move none if they cannot cover all."""
        layout = self._zone.layout
        before = layout.placements()
        covered = self._move_cells_to(request, counts)
        if not covered:
            layout.restore_placements(before)
        return covered

    def _move_cells_to(self, request: PendingRequest, counts: MemberCounts) -> bool:
        layout = self._zone.layout
        demand = request.demand
        states = [(self._zone.topology.workers[name], n) for name, n in counts.items()]
        for state, members in states:
            if layout.fitting_in_cells(request.team, state, demand) >= members:
                continue
            if not self._move_cell_to(request, state, demand.accelerators * members):
                return False
        return all(layout.fitting_in_cells(request.team, s, demand) >= n for s, n in states)

    def find_reclaim(
        self, request: PendingRequest, now_ms: int
    ) -> tuple[MemberCounts, PreemptionPlan] | None:
        """Return a placement within the team's cells and the work to preempt there."""
        demand = request.demand
        layout = self._zone.layout
        fits = {}
        for state in self._cell_workers(request):
            own = layout.fitting_in_cells(request.team, state, demand)
            max_members = min(
                own, state.free_after_preemption(include_urgent=True).fitting_members(demand)
            )
            if max_members:
                fits[state.name] = max_members
        return self._cheapest_preemption(demand, fits, lambda allocation: True, now_ms)

    def find_preemption(
        self, request: PendingRequest, names: Iterable[str], allowed: VictimFilter, now_ms: int
    ) -> tuple[MemberCounts, PreemptionPlan] | None:
        """Return a placement on some of these workers and the borrowed work to preempt there."""
        demand = request.demand
        avoided = self._zone.health.failed_workers_of(request.request_id)
        fits = {}
        for name in names:
            state = self._zone.topology.workers.get(name)
            if state is None or not state.is_schedulable() or name in avoided:
                continue
            max_members = state.free_after_preemption(include_urgent=False).fitting_members(demand)
            if not request.preemptible:
                max_members = min(
                    max_members, self._zone.layout.slack(state).fitting_members(demand)
                )
            if max_members:
                fits[name] = max_members
        return self._cheapest_preemption(demand, self._shortlist(demand, fits), allowed, now_ms)

    def is_cheaper(self, request: PendingRequest, one: MemberCounts, other: MemberCounts) -> bool:
        """Return whether one placement costs less than the other."""
        return self._cost(request, one) < self._cost(request, other)

    def _cost(self, request: PendingRequest, counts: MemberCounts) -> float:
        topology = self._zone.topology
        cost = 0.0
        for name, members in counts.items():
            state = topology.workers[name]
            rack = topology.racks[state.worker.rack]
            cost += members * placement_cost(state, rack, request.demand)
        return cost

    def _shortlist(self, demand: Demand, fits: dict[str, int]) -> dict[str, int]:
        """Keep the racks or workers that fit most members; planning victims on all is too slow."""
        if len(fits) <= MAX_WORKERS_COMPARED:
            return fits
        if demand.adjacency is Adjacency.RACK and demand.members > 1:
            workers = self._zone.topology.workers
            by_rack: dict[str, dict[str, int]] = {}
            for name, max_members in fits.items():
                by_rack.setdefault(workers[name].worker.rack, {})[name] = max_members
            best = sorted(by_rack.values(), key=lambda rack: -sum(rack.values()))
            return {
                name: max_members
                for rack in best[:MAX_RACKS_COMPARED]
                for name, max_members in rack.items()
            }
        chosen: dict[str, int] = {}
        for name, max_members in sorted(fits.items(), key=lambda item: -item[1]):
            if len(chosen) >= MAX_WORKERS_COMPARED and sum(chosen.values()) >= 2 * demand.members:
                break
            chosen[name] = max_members
        return chosen

    def _cheapest_preemption(
        self, demand: Demand, fits: dict[str, int], allowed: VictimFilter, now_ms: int
    ) -> tuple[MemberCounts, PreemptionPlan] | None:
        topology = self._zone.topology
        needed_each = demand.members if demand.adjacency is Adjacency.WORKER else 1
        candidates = []
        for name, max_members in fits.items():
            state = topology.workers[name]
            if max_members < needed_each:
                continue
            plan = plan_preemption(topology, state, demand, max_members, allowed, now_ms)
            while plan is None and max_members > needed_each:
                max_members -= 1
                plan = plan_preemption(topology, state, demand, max_members, allowed, now_ms)
            if plan is not None:
                candidates.append(Candidate(state, max_members, plan.lost_work_ms / max_members))
        counts = choose(candidates, demand)
        if counts is None:
            return None
        victims = {}
        for name, members in counts.items():
            state = topology.workers[name]
            plan = plan_preemption(topology, state, demand, members, allowed, now_ms)
            if plan is None:
                return None
            victims.update({victim.request.request_id: victim for victim in plan.victims})
        return counts, PreemptionPlan(tuple(victims.values()), 0)

    def _move_cell_to(self, request: PendingRequest, state: WorkerState, wanted: int) -> bool:
        layout = self._zone.layout
        for cell in layout.cells:
            if cell.team != request.team or not cell.placement or state.name in cell.placement:
                continue
            if cell.accelerators < wanted or not layout.is_movable(cell):
                continue
            for placement in self._placements_including(cell, state):
                if layout.move(cell, placement):
                    return True
        return False

    def _placements_including(self, cell: Cell, state: WorkerState) -> list[dict[str, int]]:
        """Return the placements of a cell that include a worker."""
        first = min(state.worker.accelerators, cell.accelerators)
        if first == cell.accelerators:
            return [{state.name: first}]
        if cell.adjacency is Adjacency.WORKER:
            return []
        placement = {state.name: first}
        missing = cell.accelerators - first
        rack = self._zone.topology.racks[state.worker.rack]
        others = [w for w in rack.workers.values() if w.is_schedulable() and w.name != state.name]
        for other in sorted(others, key=lambda w: (-w.free_accelerators, w.join_number)):
            taken = min(max(other.free_accelerators, 0), missing)
            if taken:
                placement[other.name] = taken
                missing -= taken
        return [placement] if missing == 0 else []

    def _cell_workers(self, request: PendingRequest) -> Iterator[WorkerState]:
        avoided = self._zone.health.failed_workers_of(request.request_id)
        for name in self._zone.layout.team_cell_accelerators[request.team]:
            state = self._zone.topology.workers.get(name)
            if state is not None and state.is_schedulable() and name not in avoided:
                yield state

    def _open_workers(self, request: PendingRequest, searched: int) -> Iterator[WorkerState]:
        avoided = self._zone.health.failed_workers_of(request.request_id)
        wanted = request.demand.accelerators
        for state in self._workers_to_search(request.demand, searched):
            if state.free_slots <= 0 or state.free_accelerators < wanted:
                continue
            if state.is_schedulable() and state.name not in avoided:
                yield state

    def _workers_to_search(self, demand: Demand, searched: int) -> Iterable[WorkerState]:
        """Return the workers that may fit a member now and did not at position `searched`."""
        topology = self._zone.topology
        names = None if searched < 0 else topology.freed_log.since(searched)
        if names is None or (demand.members > 1 and demand.adjacency is Adjacency.ANY and names):
            return (
                topology.index.accelerated.values()
                if demand.accelerators
                else (topology.index.with_free_slots())
            )
        states = [topology.workers[name] for name in names if name in topology.workers]
        if demand.members == 1 or demand.adjacency is Adjacency.WORKER:
            return states
        racks = dict.fromkeys(state.worker.rack for state in states)
        return [state for rack in racks for state in topology.racks[rack].workers.values()]

    def _candidate(self, state: WorkerState, max_members: int, demand: Demand) -> Candidate:
        rack = self._zone.topology.racks[state.worker.rack]
        return Candidate(state, max_members, placement_cost(state, rack, demand))

    def _binding_reservation(self, request: PendingRequest) -> Reservation | None:
        """Return the reservation that a request must respect, if its owner still waits."""
        reservation = self._zone.reservation
        if reservation is None or request.urgency is Urgency.URGENT:
            return None
        owner = reservation.request.request_id
        waits = self._zone.queue.get(owner) is not None
        return reservation if waits and owner != request.request_id else None

    def uses_urgent_headroom(self, request: PendingRequest) -> bool:
        """Return whether a start would use the slots kept free for urgent work."""
        if request.urgency is Urgency.URGENT or is_large(request):
            return False
        remaining = self._zone.topology.free_slots - request.demand.members
        return remaining < self._zone.config.urgent_headroom_slots


def kind_outside_cells(request: PendingRequest) -> AllocationKind:
    """Return the kind of an allocation outside the team's cells."""
    return AllocationKind.BORROWED if request.preemptible else AllocationKind.PINNED
