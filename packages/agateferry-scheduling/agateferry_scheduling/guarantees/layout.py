"""A layout of all teams' guaranteed shapes at once, kept as the proof that all can be had.

The invariant is that of HiveD (Zhao et al., OSDI 2020): for all teams at once, the guaranteed
shapes can be laid out on accelerators that are free, the team's own, or borrowed and can be taken
back. The layout is a witness of it. Each cell is one group of a shape at a stated place. Guaranteed
work lies within its team's cells, pinned work lies outside all cells, and borrowed work, which can
be taken back, may lie anywhere. A placement that would need an impossible layout is not made.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from agateferry_core.demand import Adjacency, Demand
from agateferry_scheduling.scheduler.messages import Team
from agateferry_scheduling.topology import Allocation, Backing, Topology, WorkerState
from agateferry_scheduling.topology.amount import Amount, proportional_resources, total_resources

STRICTNESS = {Adjacency.WORKER: 0, Adjacency.RACK: 1, Adjacency.ANY: 2}


@dataclass(slots=True, eq=False)
class Cell:
    """One group of a team's shape, and the accelerators of each worker where it is laid."""

    team: str
    accelerators: int
    adjacency: Adjacency
    placement: dict[str, int] = field(default_factory=dict)


class Layout:
    """Keep every team's cells laid out, and say what room they leave.

    `own` counts guaranteed work for each team and worker, `pinned` counts pinned work.
    """

    def __init__(self, topology: Topology) -> None:
        self.topology = topology
        self.cells: list[Cell] = []
        self.cell_accelerators: dict[str, int] = defaultdict(int)
        self.team_cell_accelerators: dict[str, dict[str, int]] = defaultdict(dict)
        self.guaranteed_use: dict[str, dict[str, Amount]] = defaultdict(dict)
        self.pinned_use: dict[str, Amount] = {}

    def set_teams(self, teams: tuple[Team, ...]) -> None:
        """Make the cells anew for this list of teams, largest and most adjacent first."""
        self.cells = [
            Cell(team.name, shape.accelerators, shape.adjacency)
            for team in teams
            for shape in team.guarantee
            for _ in range(shape.count)
        ]
        self.cells.sort(key=lambda cell: (-cell.accelerators, STRICTNESS[cell.adjacency]))
        self.adopt_running_allocations()

    def missing(self) -> tuple[str, ...]:
        """Return the teams whose shapes cannot all be laid out now."""
        return tuple(sorted({cell.team for cell in self.cells if not cell.placement}))

    def adopt_running_allocations(self) -> None:
        """Lay the cells around what runs already, and count as guaranteed what they cover.

        It serves a scheduler that has just begun, and a list of teams that changed.
        """
        teams = {cell.team for cell in self.cells}
        for allocation in self.topology.allocations.values():
            request = allocation.request
            may_use = request.demand.accelerators > 0 or not request.preemptible
            if request.team in teams and may_use and not allocation.pending:
                self._recount(allocation, Backing.GUARANTEED)
        self.place_all_cells()

    def place_all_cells(self) -> None:
        """Lay every cell out anew, first around the team's own guaranteed work."""
        self.cell_accelerators.clear()
        self.team_cell_accelerators.clear()
        for cell in self.cells:
            cell.placement = {}
        self._settle()

    def refresh(self) -> None:
        """Take cells off workers that are gone or closed and lay them out elsewhere."""
        self._settle()
        if self.missing():
            self.place_all_cells()

    def place_cell(self, cell: Cell) -> bool:
        """Lay a cell where there is room outside other cells and pinned work, if anywhere."""
        for places in self._options(cell):
            self._put(cell, places)
            return True
        return False

    def fitting_in_cells(self, team: str, state: WorkerState, demand: Demand) -> int:
        """Return how many members fit into the team's cells on a worker beside its own work."""
        laid = self.team_cell_accelerators[team].get(state.name, 0)
        if laid == 0:
            return 0
        within = proportional_resources(state.worker, laid)
        used = self.guaranteed_use[team].get(state.name)
        if used is not None:
            within = within.minus(used)
        return within.fitting_members(demand)

    def slack(self, state: WorkerState) -> Amount:
        """Return what no cell and no pinned work takes on a worker."""
        left = total_resources(state.worker).minus(
            proportional_resources(state.worker, self.cell_accelerators.get(state.name, 0))
        )
        pinned = self.pinned_use.get(state.name)
        return left.minus(pinned) if pinned is not None else left

    def charge(self, allocation: Allocation, sign: int) -> None:
        """Count guaranteed or pinned work in (1) or out (-1)."""
        if allocation.backing is Backing.BORROWED:
            return
        book = self.pinned_use
        if allocation.backing is Backing.GUARANTEED:
            book = self.guaranteed_use[allocation.request.team]
        for name, members in allocation.member_counts.items():
            amount = book.setdefault(name, Amount())
            amount.add(allocation.request.demand, sign * members)
            if amount == Amount():
                del book[name]

    def is_movable(self, cell: Cell) -> bool:
        """Tell whether the team's own work is covered without this cell."""
        for name, laid in cell.placement.items():
            used = self.guaranteed_use[cell.team].get(name)
            if used is None:
                continue
            state = self.topology.workers[name]
            rest = proportional_resources(
                state.worker, self.team_cell_accelerators[cell.team][name] - laid
            )
            if rest.minus(used).is_negative():
                return False
        return True

    def move(self, cell: Cell, places: dict[str, int]) -> bool:
        """Move a cell to another place, or swap it with another team's equal cell there."""
        before = cell.placement
        self._lift(cell)
        if all(self._takes(name, count) for name, count in places.items()):
            self._put(cell, places)
            return True
        for other in self.cells:
            if other.placement == places and other.team != cell.team and self.is_movable(other):
                self._lift(other)
                self._put(cell, places)
                self._put(other, before)
                return True
        self._put(cell, before)
        return False

    def placements(self) -> list[dict[str, int]]:
        """Return where each cell lies, for `restore_placements`."""
        return [cell.placement for cell in self.cells]

    def restore_placements(self, places: list[dict[str, int]]) -> None:
        """Undo all moves since `places` was called."""
        changed = [
            (cell, before)
            for cell, before in zip(self.cells, places, strict=True)
            if cell.placement is not before
        ]
        for cell, _ in changed:
            self._lift(cell)
        for cell, before in changed:
            self._put(cell, before)

    def _takes(self, name: str, accelerators: int) -> bool:
        state = self.topology.workers.get(name)
        if state is None or not state.is_schedulable():
            return False
        return (
            not self.slack(state)
            .minus(proportional_resources(state.worker, accelerators))
            .is_negative()
        )

    def _room(self, cell: Cell, state: WorkerState) -> int:
        """Return how many accelerators of a cell a worker can take."""
        slack = self.slack(state)
        room = min(slack.accelerators, cell.accelerators)
        while room > 0 and slack.minus(proportional_resources(state.worker, room)).is_negative():
            room -= 1
        return max(room, 0)

    def _options(self, cell: Cell) -> list[dict[str, int]]:
        """Return the best place for a cell, in a list that is empty when there is none."""
        own = self.guaranteed_use[cell.team]
        rooms: dict[str, list[tuple[bool, int, int, str]]] = defaultdict(list)
        for state in self.topology.index.accelerated.values():
            room = self._room(cell, state) if state.is_schedulable() else 0
            if room:
                uncovered = state.name in own and not self.team_cell_accelerators[cell.team].get(
                    state.name
                )
                rooms[state.worker.rack].append(
                    (not uncovered, room, state.join_number, state.name)
                )
        if cell.adjacency is Adjacency.WORKER:
            fits = [r for rack in rooms.values() for r in rack if r[1] >= cell.accelerators]
            fits.sort(key=lambda r: (r[0], self._slack_of(r[3]), r[2]))
            return [{fits[0][3]: cell.accelerators}] if fits else []
        groups = list(rooms.values())
        if cell.adjacency is Adjacency.ANY:
            groups = [[r for rack in groups for r in rack]]
        groups = [g for g in groups if sum(r[1] for r in g) >= cell.accelerators]
        groups.sort(key=lambda g: (all(r[0] for r in g), sum(r[1] for r in g)))
        return [self._spread(groups[0], cell.accelerators)] if groups else []

    def _slack_of(self, name: str) -> int:
        return self.slack(self.topology.workers[name]).accelerators

    def _spread(self, rooms: list[tuple[bool, int, int, str]], wanted: int) -> dict[str, int]:
        places: dict[str, int] = {}
        for _, room, _, name in sorted(rooms, key=lambda r: (r[0], -r[1], r[2])):
            taken = min(room, wanted)
            places[name] = taken
            wanted -= taken
            if wanted == 0:
                break
        return places

    def _put(self, cell: Cell, places: dict[str, int]) -> None:
        cell.placement = places
        self.topology.freed_log.add(places)
        team = self.team_cell_accelerators[cell.team]
        for name, count in places.items():
            self.cell_accelerators[name] += count
            team[name] = team.get(name, 0) + count

    def _lift(self, cell: Cell) -> None:
        team = self.team_cell_accelerators[cell.team]
        for name, count in cell.placement.items():
            self.cell_accelerators[name] -= count
            team[name] -= count
            if team[name] == 0:
                del team[name]
        self.topology.freed_log.add(cell.placement)
        cell.placement = {}

    def _holds(self, name: str) -> bool:
        """Tell whether a worker is open and large enough for what is laid on it."""
        state = self.topology.workers.get(name)
        return state is not None and state.is_schedulable() and not self.slack(state).is_negative()

    def _covers(self, team: str, name: str) -> bool:
        used = self.guaranteed_use[team].get(name)
        if used is None:
            return True
        state = self.topology.workers.get(name)
        if state is None:
            return False
        return (
            not proportional_resources(state.worker, self.team_cell_accelerators[team].get(name, 0))
            .minus(used)
            .is_negative()
        )

    def _settle(self) -> None:
        """Lay out what is not, and demote guaranteed work without a cell, until nothing changes."""
        for cell in self.cells:
            if not all(self._holds(name) for name in cell.placement):
                self._lift(cell)
        for cell in self.cells:
            if not cell.placement:
                self.place_cell(cell)
        if self._demote_uncovered():
            self._settle()

    def _demote_uncovered(self) -> bool:
        """Count guaranteed work without a cell as borrowed or pinned, the newest first."""
        pairs = [(team, name) for team, book in self.guaranteed_use.items() for name in book]
        bare = {(team, name) for team, name in pairs if not self._covers(team, name)}
        if not bare:
            return False
        guaranteed = [
            allocation
            for allocation in self.topology.allocations.values()
            if allocation.backing is Backing.GUARANTEED
        ]
        guaranteed.sort(key=lambda a: (-a.started_ms, a.request.request_id))
        for allocation in guaranteed:
            team = allocation.request.team
            if any(
                (team, n) in bare and not self._covers(team, n) for n in allocation.member_counts
            ):
                self._recount(allocation, _outside(allocation))
        return True

    def _recount(self, allocation: Allocation, backing: Backing) -> None:
        self.charge(allocation, -1)
        self.topology.update_allocation(allocation, backing=backing)
        self.charge(allocation, 1)


def _outside(allocation: Allocation) -> Backing:
    return Backing.BORROWED if allocation.request.preemptible else Backing.PINNED
