"""Find the workers on which a request can start now, or could once others stop."""

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

CANDIDATES_FOR_ONE = 48
WORKERS_WEIGHED = 12
RACKS_WEIGHED = 3


class Finder:
    """Look for places by right: within the team's cells, borrowed, pinned, or by taking back."""

    def __init__(self, zone: ZoneState) -> None:
        self._zone = zone

    def within_cells(self, request: PendingRequest) -> MemberCounts | None:
        """Return free workers within the team's cells."""
        demand = request.demand
        layout = self._zone.layout
        candidates = []
        for state in self._cell_workers(request):
            room = min(
                state.fitting_members(demand), layout.fitting_in_cells(request.team, state, demand)
            )
            if room:
                candidates.append(self._candidate(state, room, demand))
        return choose(candidates, demand)

    def free(self, request: PendingRequest, now_ms: int, searched: int = -1) -> MemberCounts | None:
        """Return free workers, outside what is reserved for others and kept for urgent work.

        Workers are passed over on which nothing came free since the mark `searched`. Work that
        cannot be taken back only goes where it breaks no guarantee.
        """
        demand = request.demand
        ends_ms = now_ms + self._zone.estimates.at_most_ms(request)
        kept = self._reservation_against(request)
        candidates = []
        for state in self._open(request, searched):
            room = state.fitting_members(demand)
            if not room or (kept is not None and kept.blocks(state.name, ends_ms)):
                continue
            if not request.preemptible:
                room = min(room, self._zone.layout.slack(state).fitting_members(demand))
            if room:
                candidates.append(self._candidate(state, room, demand))
                if len(candidates) >= CANDIDATES_FOR_ONE and demand.members == 1:
                    break
        return choose(candidates, demand)

    def cover(self, request: PendingRequest, counts: MemberCounts) -> bool:
        """Move the team's unused cells onto these workers, or none if they cannot cover it."""
        layout = self._zone.layout
        before = layout.placements()
        covered = self._bring_cells(request, counts)
        if not covered:
            layout.restore_placements(before)
        return covered

    def _bring_cells(self, request: PendingRequest, counts: MemberCounts) -> bool:
        layout = self._zone.layout
        demand = request.demand
        states = [(self._zone.topology.workers[name], n) for name, n in counts.items()]
        for state, members in states:
            if layout.fitting_in_cells(request.team, state, demand) >= members:
                continue
            if not self._bring_cell(request, state, demand.accelerators * members):
                return False
        return all(layout.fitting_in_cells(request.team, s, demand) >= n for s, n in states)

    def reclaim(
        self, request: PendingRequest, now_ms: int
    ) -> tuple[MemberCounts, PreemptionPlan] | None:
        """Return workers within the team's cells, and what to stop there."""
        demand = request.demand
        layout = self._zone.layout
        rooms = {}
        for state in self._cell_workers(request):
            own = layout.fitting_in_cells(request.team, state, demand)
            room = min(
                own, state.free_after_preemption(include_urgent=True).fitting_members(demand)
            )
            if room:
                rooms[state.name] = room
        return self._cheapest(demand, rooms, lambda allocation: True, now_ms)

    def take_back(
        self, request: PendingRequest, names: Iterable[str], allowed: VictimFilter, now_ms: int
    ) -> tuple[MemberCounts, PreemptionPlan] | None:
        """Return some of these workers, and which borrowed work to stop there."""
        demand = request.demand
        avoided = self._zone.health.failed_workers_of(request.request_id)
        rooms = {}
        for name in names:
            state = self._zone.topology.workers.get(name)
            if state is None or not state.is_schedulable() or name in avoided:
                continue
            room = state.free_after_preemption(include_urgent=False).fitting_members(demand)
            if not request.preemptible:
                room = min(room, self._zone.layout.slack(state).fitting_members(demand))
            if room:
                rooms[name] = room
        return self._cheapest(demand, self._shortlist(demand, rooms), allowed, now_ms)

    def is_cheaper(self, request: PendingRequest, one: MemberCounts, other: MemberCounts) -> bool:
        """Tell whether one placement destroys less than the other."""
        return self._cost(request, one) < self._cost(request, other)

    def _cost(self, request: PendingRequest, counts: MemberCounts) -> float:
        topology = self._zone.topology
        cost = 0.0
        for name, members in counts.items():
            state = topology.workers[name]
            rack = topology.racks[state.worker.rack]
            cost += members * placement_cost(state, rack, request.demand)
        return cost

    def _shortlist(self, demand: Demand, rooms: dict[str, int]) -> dict[str, int]:
        """Keep the roomiest racks or workers, because weighing what they run takes time."""
        if len(rooms) <= WORKERS_WEIGHED:
            return rooms
        if demand.adjacency is Adjacency.RACK and demand.members > 1:
            workers = self._zone.topology.workers
            by_rack: dict[str, dict[str, int]] = {}
            for name, room in rooms.items():
                by_rack.setdefault(workers[name].worker.rack, {})[name] = room
            best = sorted(by_rack.values(), key=lambda rack: -sum(rack.values()))
            return {name: room for rack in best[:RACKS_WEIGHED] for name, room in rack.items()}
        chosen: dict[str, int] = {}
        for name, room in sorted(rooms.items(), key=lambda item: -item[1]):
            if len(chosen) >= WORKERS_WEIGHED and sum(chosen.values()) >= 2 * demand.members:
                break
            chosen[name] = room
        return chosen

    def _cheapest(
        self, demand: Demand, rooms: dict[str, int], allowed: VictimFilter, now_ms: int
    ) -> tuple[MemberCounts, PreemptionPlan] | None:
        topology = self._zone.topology
        needed_each = demand.members if demand.adjacency is Adjacency.WORKER else 1
        candidates = []
        for name, room in rooms.items():
            state = topology.workers[name]
            if room < needed_each:
                continue
            plan = plan_preemption(topology, state, demand, room, allowed, now_ms)
            while plan is None and room > needed_each:
                room -= 1
                plan = plan_preemption(topology, state, demand, room, allowed, now_ms)
            if plan is not None:
                candidates.append(Candidate(state, room, plan.lost_work_ms / room))
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

    def _bring_cell(self, request: PendingRequest, state: WorkerState, wanted: int) -> bool:
        layout = self._zone.layout
        for cell in layout.cells:
            if cell.team != request.team or not cell.placement or state.name in cell.placement:
                continue
            if cell.accelerators < wanted or not layout.is_movable(cell):
                continue
            for places in self._new_places(cell, state):
                if layout.move(cell, places):
                    return True
        return False

    def _new_places(self, cell: Cell, state: WorkerState) -> list[dict[str, int]]:
        """Return where a cell could lie so that it includes a worker."""
        first = min(state.worker.accelerators, cell.accelerators)
        if first == cell.accelerators:
            return [{state.name: first}]
        if cell.adjacency is Adjacency.WORKER:
            return []
        places = {state.name: first}
        missing = cell.accelerators - first
        rack = self._zone.topology.racks[state.worker.rack]
        others = [w for w in rack.workers.values() if w.is_schedulable() and w.name != state.name]
        for other in sorted(others, key=lambda w: (-w.free_accelerators, w.join_number)):
            taken = min(max(other.free_accelerators, 0), missing)
            if taken:
                places[other.name] = taken
                missing -= taken
        return [places] if missing == 0 else []

    def _cell_workers(self, request: PendingRequest) -> Iterator[WorkerState]:
        avoided = self._zone.health.failed_workers_of(request.request_id)
        for name in self._zone.layout.team_cell_accelerators[request.team]:
            state = self._zone.topology.workers.get(name)
            if state is not None and state.is_schedulable() and name not in avoided:
                yield state

    def _open(self, request: PendingRequest, searched: int) -> Iterator[WorkerState]:
        avoided = self._zone.health.failed_workers_of(request.request_id)
        wanted = request.demand.accelerators
        for state in self._changed(request.demand, searched):
            if state.free_slots <= 0 or state.free_accelerators < wanted:
                continue
            if state.is_schedulable() and state.name not in avoided:
                yield state

    def _changed(self, demand: Demand, searched: int) -> Iterable[WorkerState]:
        """Return the workers that may have room now and had none at the mark."""
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

    def _candidate(self, state: WorkerState, room: int, demand: Demand) -> Candidate:
        rack = self._zone.topology.racks[state.worker.rack]
        return Candidate(state, room, placement_cost(state, rack, demand))

    def _reservation_against(self, request: PendingRequest) -> Reservation | None:
        """Return the reservation that a request must keep to, if its holder still waits."""
        reservation = self._zone.reservation
        if reservation is None or request.urgency is Urgency.URGENT:
            return None
        holder = reservation.request.request_id
        waits = self._zone.queue.get(holder) is not None
        return reservation if waits and holder != request.request_id else None

    def eats_headroom(self, request: PendingRequest) -> bool:
        """Tell whether a start would use slots that are kept for urgent work."""
        if request.urgency is Urgency.URGENT or is_large(request):
            return False
        left = self._zone.topology.free_slots - request.demand.members
        return left < self._zone.config.urgent_headroom_slots


def kind_outside_guarantee(request: PendingRequest) -> AllocationKind:
    """Return by what right a request holds workers outside its team's cells."""
    return AllocationKind.BORROWED if request.preemptible else AllocationKind.PINNED
