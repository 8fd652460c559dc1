"""The choice of workers for a whole gang among candidates with a cost."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from agateferry_core.demand import Adjacency, Demand
from agateferry_scheduling.placement.first_fit import MemberCounts
from agateferry_scheduling.topology import WorkerState


@dataclass(frozen=True, slots=True)
class Candidate:
    """A worker, how many members fit on it and the cost of each; a lower cost is better."""

    state: WorkerState
    fitting_members: int
    cost: float


def choose(candidates: Iterable[Candidate], demand: Demand) -> MemberCounts | None:
    """Return the member counts by worker, or None when the whole gang does not fit.

    A gang that may span racks still goes to a single rack if it fits into one, because fewer racks
    are then partly used.
    """
    if demand.members == 1 or demand.adjacency is Adjacency.WORKER:
        return _one_worker(candidates, demand)
    racks: dict[str, list[Candidate]] = defaultdict(list)
    for candidate in candidates:
        racks[candidate.state.worker.rack].append(candidate)
    fitting = [rack for rack in racks.values() if _fitting_members(rack) >= demand.members]
    if fitting:
        return _fill(min(fitting, key=lambda rack: _rack_cost(rack, demand)), demand)
    if demand.adjacency is Adjacency.RACK:
        return None
    return _fill_racks(sorted(racks.values(), key=_fitting_members, reverse=True), demand)


def _one_worker(candidates: Iterable[Candidate], demand: Demand) -> MemberCounts | None:
    best: Candidate | None = None
    for candidate in candidates:
        if candidate.fitting_members < demand.members:
            continue
        if best is None or candidate.cost < best.cost:
            best = candidate
    return None if best is None else {best.state.name: demand.members}


def _fitting_members(rack: list[Candidate]) -> int:
    return sum(candidate.fitting_members for candidate in rack)


def _rack_cost(rack: list[Candidate], demand: Demand) -> tuple[float, int]:
    """Return the sort key of a rack: the cost on its cheapest workers, then what fits in all."""
    missing = demand.members
    cost = 0.0
    for candidate in sorted(rack, key=_candidate_cost):
        taken = min(candidate.fitting_members, missing)
        cost += candidate.cost * taken
        missing -= taken
        if missing == 0:
            break
    return cost, _fitting_members(rack)


def _candidate_cost(candidate: Candidate) -> tuple[float, int]:
    return candidate.cost, candidate.state.join_number


def _fill(rack: list[Candidate], demand: Demand) -> MemberCounts:
    counts: MemberCounts = {}
    missing = demand.members
    for candidate in sorted(rack, key=_candidate_cost):
        taken = min(candidate.fitting_members, missing)
        counts[candidate.state.name] = taken
        missing -= taken
        if missing == 0:
            break
    return counts


def _fill_racks(racks: list[list[Candidate]], demand: Demand) -> MemberCounts | None:
    counts: MemberCounts = {}
    missing = demand.members
    for rack in racks:
        for candidate in sorted(rack, key=_candidate_cost):
            taken = min(candidate.fitting_members, missing)
            counts[candidate.state.name] = taken
            missing -= taken
            if missing == 0:
                return counts
    return None
