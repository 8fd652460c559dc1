"""Check a layout against the guarantees, from the placements alone.

The check uses none of the totals that the layout maintains, so it also detects a fault in them.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable

from agateferry_core.demand import Adjacency, Worker
from agateferry_scheduling.guarantees.layout import Cell, Layout
from agateferry_scheduling.scheduler.messages import Team
from agateferry_scheduling.topology import AllocationKind, Topology

ShapeCounts = Counter[tuple[str, int, Adjacency]]


def find_guarantee_violation(
    topology: Topology, layout: Layout, teams: Iterable[Team]
) -> str | None:
    """Return how the guarantee invariant is violated, or None when it holds.

    Cells that the layout reports as missing are skipped: they are a guarantee at risk, which
    operators are told about, and not a fault of placement.
    """
    if _guaranteed_shapes(teams) != Counter(_shape_key(cell) for cell in layout.cells):
        return "the cells are not the teams' guaranteed shapes"
    for cell in layout.cells:
        if cell.placement and not _has_its_shape(cell, topology):
            return f"a cell of {cell.team} does not have its shape: {cell.placement}"
    return _find_overlap(topology, layout)


def _guaranteed_shapes(teams: Iterable[Team]) -> ShapeCounts:
    counts: ShapeCounts = Counter()
    for team in teams:
        for shape in team.guarantee:
            counts[(team.name, shape.accelerators, shape.adjacency)] += shape.count
    return counts


def _shape_key(cell: Cell) -> tuple[str, int, Adjacency]:
    return cell.team, cell.accelerators, cell.adjacency


def _has_its_shape(cell: Cell, topology: Topology) -> bool:
    workers: list[Worker] = []
    for name in cell.placement:
        state = topology.workers.get(name)
        if state is None or not state.is_schedulable():
            return False
        workers.append(state.worker)
    if sum(cell.placement.values()) != cell.accelerators:
        return False
    if cell.adjacency is Adjacency.WORKER:
        return len(workers) == 1
    if cell.adjacency is Adjacency.RACK:
        return len({worker.rack for worker in workers}) == 1
    return True


def _find_overlap(topology: Topology, layout: Layout) -> str | None:
    in_cells: Counter[str] = Counter()
    cells_by_team: Counter[tuple[str, str]] = Counter()
    for cell in layout.cells:
        for name, count in cell.placement.items():
            in_cells[name] += count
            cells_by_team[(cell.team, name)] += count
    pinned: Counter[str] = Counter()
    guaranteed: dict[tuple[str, str], int] = defaultdict(int)
    for allocation in topology.allocations.values():
        request = allocation.request
        for name, members in allocation.member_counts.items():
            taken = members * request.demand.accelerators
            if allocation.kind is AllocationKind.PINNED:
                pinned[name] += taken
            elif allocation.kind is AllocationKind.GUARANTEED:
                guaranteed[(request.team, name)] += taken
            elif not request.preemptible:
                return f"{request.request_id} is borrowed but not preemptible"
    for (team, name), taken in guaranteed.items():
        if name in topology.workers and taken > cells_by_team[(team, name)]:
            return f"guaranteed work of {team} lies outside its cells on {name}"
    for name, count in in_cells.items():
        if count + pinned[name] > topology.workers[name].worker.accelerators:
            return f"cells and pinned work overlap on {name}"
    return None
