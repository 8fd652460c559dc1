"""A layout of all teams' guaranteed shapes, maintained as the proof that all of them fit at once.

The invariant is that of HiveD (Zhao et al., OSDI 2020): the guaranteed shapes of all teams can be
placed at the same time on accelerators that are free, used by the team itself, or borrowed by work
that can be preempted. The layout is the witness of it. A cell is one group of a shape with its
placement. Guaranteed work runs within its team's cells, pinned work runs outside all cells, and
borrowed work, which can be preempted, may run anywhere. A request is not placed where no valid
layout would remain.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from agateferry_core.demand import Adjacency, Demand
from agateferry_scheduling.scheduler.messages import Team
from agateferry_scheduling.topology import Allocation, AllocationKind, Topology, WorkerState
from agateferry_scheduling.topology.resources import (
    Resources,
    proportional_resources,
    total_resources,
)

ADJACENCY_ORDER = {Adjacency.WORKER: 0, Adjacency.RACK: 1, Adjacency.ANY: 2}


@dataclass(slots=True, eq=False)
class Cell:
    """One group of a team's shape; `placement` maps each of its workers to accelerators there.

    `placement` is empty while the cell fits nowhere.
    """

    team: str
    accelerators: int
    adjacency: Adjacency
    placement: dict[str, int] = field(default_factory=dict)


class Layout:
    """Place every team's cells, and report the resources that they leave to other work.

    `cell_accelerators` counts the accelerators of a worker that all cells cover, and
    `team_cell_accelerators` those that one team's cells cover. `guaranteed_use` sums the guaranteed
    work of a team on a worker, `pinned_use` the pinned work of all teams on it.
    """

    def __init__(self, topology: Topology) -> None:
        self.topology = topology
        self.cells: list[Cell] = []
        self.cell_accelerators: dict[str, int] = defaultdict(int)
        self.team_cell_accelerators: dict[str, dict[str, int]] = defaultdict(dict)
        self.guaranteed_use: dict[str, dict[str, Resources]] = defaultdict(dict)
        self.pinned_use: dict[str, Resources] = {}

    def set_teams(self, teams: tuple[Team, ...]) -> None:
        """Replace all cells by those of these teams, the largest and strictest adjacency first."""
        self.cells = [
            Cell(team.name, shape.accelerators, shape.adjacency)
            for team in teams
            for shape in team.guarantee
            for _ in range(shape.count)
        ]
        self.cells.sort(key=lambda cell: (-cell.accelerators, ADJACENCY_ORDER[cell.adjacency]))
        self.adopt_running_allocations()

    def teams_missing_cells(self) -> tuple[str, ...]:
        """Return the teams whose guaranteed shapes cannot all be placed now."""
        return tuple(sorted({cell.team for cell in self.cells if not cell.placement}))

    def adopt_running_allocations(self) -> None:
        """Place all cells around running work, and count the work that they cover as guaranteed.

        This is needed after a scheduler started and after the list of teams changed.
        """
        teams = {cell.team for cell in self.cells}
        for allocation in self.topology.allocations.values():
            request = allocation.request
            may_use = request.demand.accelerators > 0 or not request.preemptible
            if request.team in teams and may_use and not allocation.pending:
                self._reclassify(allocation, AllocationKind.GUARANTEED)
        self.place_all_cells()

    def place_all_cells(self) -> None:
        """Place every cell again, first on workers that run the team's guaranteed work."""
        self.cell_accelerators.clear()
        self.team_cell_accelerators.clear()
        for cell in self.cells:
            cell.placement = {}
        self._place_and_demote()

    def refresh(self) -> None:
        """Move cells off workers that were lost or accept no new work."""
        self._place_and_demote()
        if self.teams_missing_cells():
            self.place_all_cells()

    def place_cell(self, cell: Cell) -> bool:
        """Place a cell outside other cells and pinned work; return False when it fits nowhere."""
        for placement in self._best_placement(cell):
            self._set_placement(cell, placement)
            return True
        return False

    def fitting_in_cells(self, team: str, state: WorkerState, demand: Demand) -> int:
        """Return how many members fit into the team's cells on a worker beside guaranteed work."""
        in_cells = self.team_cell_accelerators[team].get(state.name, 0)
        if in_cells == 0:
            return 0
        within = proportional_resources(state.worker, in_cells)
        used = self.guaranteed_use[team].get(state.name)
        if used is not None:
            within = within.minus(used)
        return within.fitting_members(demand)

    def slack(self, state: WorkerState) -> Resources:
        """Return a worker's resources that neither cells nor pinned work use."""
        left = total_resources(state.worker).minus(
            proportional_resources(state.worker, self.cell_accelerators.get(state.name, 0))
        )
        pinned = self.pinned_use.get(state.name)
        return left.minus(pinned) if pinned is not None else left

    def charge(self, allocation: Allocation, sign: int) -> None:
        """Add (1) or subtract (-1) the resources of guaranteed or pinned work."""
        if allocation.kind is AllocationKind.BORROWED:
            return
        use_by_worker = self.pinned_use
        if allocation.kind is AllocationKind.GUARANTEED:
            use_by_worker = self.guaranteed_use[allocation.request.team]
        for name, members in allocation.member_counts.items():
            used = use_by_worker.setdefault(name, Resources())
            used.add(allocation.request.demand, sign * members)
            if used == Resources():
                del use_by_worker[name]

    def is_movable(self, cell: Cell) -> bool:
        """Return whether the team's other cells cover its guaranteed work without this cell."""
        for name, in_cells in cell.placement.items():
            used = self.guaranteed_use[cell.team].get(name)
            if used is None:
                continue
            state = self.topology.workers[name]
            rest = proportional_resources(
                state.worker, self.team_cell_accelerators[cell.team][name] - in_cells
            )
            if rest.minus(used).is_negative():
                return False
        return True

    def move(self, cell: Cell, placement: dict[str, int]) -> bool:
        """Move a cell to another placement, or swap it with another team's equal cell there."""
        before = cell.placement
        self._clear_placement(cell)
        if all(self._fits(name, count) for name, count in placement.items()):
            self._set_placement(cell, placement)
            return True
        for other in self.cells:
            if other.placement == placement and other.team != cell.team and self.is_movable(other):
                self._clear_placement(other)
                self._set_placement(cell, placement)
                self._set_placement(other, before)
                return True
        self._set_placement(cell, before)
        return False

    def placements(self) -> list[dict[str, int]]:
        """Return the placement of each cell, for `restore_placements`."""
        return [cell.placement for cell in self.cells]

    def restore_placements(self, placements: list[dict[str, int]]) -> None:
        """Undo all moves since `placements` was called."""
        changed = [
            (cell, before)
            for cell, before in zip(self.cells, placements, strict=True)
            if cell.placement is not before
        ]
        for cell, _ in changed:
            self._clear_placement(cell)
        for cell, before in changed:
            self._set_placement(cell, before)

    def _fits(self, name: str, accelerators: int) -> bool:
        state = self.topology.workers.get(name)
        if state is None or not state.is_schedulable():
            return False
        return (
            not self.slack(state)
            .minus(proportional_resources(state.worker, accelerators))
            .is_negative()
        )

    def _fitting_accelerators(self, cell: Cell, state: WorkerState) -> int:
        """Return how many accelerators of a cell fit on a worker."""
        slack = self.slack(state)
        fitting = min(slack.accelerators, cell.accelerators)
        while (
            fitting > 0 and slack.minus(proportional_resources(state.worker, fitting)).is_negative()
        ):
            fitting -= 1
        return max(fitting, 0)

    def _best_placement(self, cell: Cell) -> list[dict[str, int]]:
        """Return a list of the best placement for a cell, or an empty one when it fits nowhere.

        Workers that run guaranteed work of the team outside its cells come first. A candidate is
        (no such work runs there, fitting accelerators, join number, name of the worker).
        """
        guaranteed_use = self.guaranteed_use[cell.team]
        candidates: dict[str, list[tuple[bool, int, int, str]]] = defaultdict(list)
        for state in self.topology.index.accelerated.values():
            fitting = self._fitting_accelerators(cell, state) if state.is_schedulable() else 0
            if fitting:
                uncovered = state.name in guaranteed_use and not self.team_cell_accelerators[
                    cell.team
                ].get(state.name)
                candidates[state.worker.rack].append(
                    (not uncovered, fitting, state.join_number, state.name)
                )
        if cell.adjacency is Adjacency.WORKER:
            fits = [r for rack in candidates.values() for r in rack if r[1] >= cell.accelerators]
            fits.sort(key=lambda r: (r[0], self._slack_accelerators(r[3]), r[2]))
            return [{fits[0][3]: cell.accelerators}] if fits else []
        groups = list(candidates.values())
        if cell.adjacency is Adjacency.ANY:
            groups = [[r for rack in groups for r in rack]]
        groups = [g for g in groups if sum(r[1] for r in g) >= cell.accelerators]
        groups.sort(key=lambda g: (all(r[0] for r in g), sum(r[1] for r in g)))
        return [self._fill(groups[0], cell.accelerators)] if groups else []

    def _slack_accelerators(self, name: str) -> int:
        return self.slack(self.topology.workers[name]).accelerators

    def _fill(self, candidates: list[tuple[bool, int, int, str]], wanted: int) -> dict[str, int]:
        placement: dict[str, int] = {}
        for _, fitting, _, name in sorted(candidates, key=lambda r: (r[0], -r[1], r[2])):
            taken = min(fitting, wanted)
            placement[name] = taken
            wanted -= taken
            if wanted == 0:
                break
        return placement

    def _set_placement(self, cell: Cell, placement: dict[str, int]) -> None:
        cell.placement = placement
        self.topology.freed_log.add(placement)
        team = self.team_cell_accelerators[cell.team]
        for name, count in placement.items():
            self.cell_accelerators[name] += count
            team[name] = team.get(name, 0) + count

    def _clear_placement(self, cell: Cell) -> None:
        team = self.team_cell_accelerators[cell.team]
        for name, count in cell.placement.items():
            self.cell_accelerators[name] -= count
            team[name] -= count
            if team[name] == 0:
                del team[name]
        self.topology.freed_log.add(cell.placement)
        cell.placement = {}

    def _is_valid_on(self, name: str) -> bool:
        """Return whether a worker is schedulable and large enough for its cells and pinned work."""
        state = self.topology.workers.get(name)
        return state is not None and state.is_schedulable() and not self.slack(state).is_negative()

    def _cells_cover(self, team: str, name: str) -> bool:
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

    def _place_and_demote(self) -> None:
        """Place missing cells and demote guaranteed work outside cells, until nothing changes."""
        for cell in self.cells:
            if not all(self._is_valid_on(name) for name in cell.placement):
                self._clear_placement(cell)
        for cell in self.cells:
            if not cell.placement:
                self.place_cell(cell)
        if self._demote_uncovered():
            self._place_and_demote()

    def _demote_uncovered(self) -> bool:
        """Count guaranteed work that cells do not cover as borrowed or pinned, the newest first."""
        pairs = [
            (team, name)
            for team, use_by_worker in self.guaranteed_use.items()
            for name in use_by_worker
        ]
        uncovered = {(team, name) for team, name in pairs if not self._cells_cover(team, name)}
        if not uncovered:
            return False
        guaranteed = [
            allocation
            for allocation in self.topology.allocations.values()
            if allocation.kind is AllocationKind.GUARANTEED
        ]
        guaranteed.sort(key=lambda a: (-a.started_ms, a.request.request_id))
        for allocation in guaranteed:
            team = allocation.request.team
            if any(
                (team, n) in uncovered and not self._cells_cover(team, n)
                for n in allocation.member_counts
            ):
                self._reclassify(allocation, _kind_outside_cells(allocation))
        return True

    def _reclassify(self, allocation: Allocation, kind: AllocationKind) -> None:
        self.charge(allocation, -1)
        self.topology.update_allocation(allocation, kind=kind)
        self.charge(allocation, 1)


def _kind_outside_cells(allocation: Allocation) -> AllocationKind:
    return AllocationKind.BORROWED if allocation.request.preemptible else AllocationKind.PINNED
