"""First fit: use the first workers on which the demand fits, in the order in which they joined."""

from collections.abc import Iterable

from agateferry_core.demand import Adjacency, Assignment, Demand
from agateferry_scheduling.topology import Topology, WorkerState

MemberCounts = dict[str, int]
"""The number of members of a gang on each worker, by the name of the worker."""


def assignments_of(demand: Demand, counts: MemberCounts) -> tuple[Assignment, ...]:
    """Number the members worker by worker; for example {"w1": 2} puts members 0 and 1 on w1."""
    names = [name for name, count in counts.items() for _ in range(count)]
    return tuple(
        Assignment(member=member, worker=name, accelerators=demand.accelerators)
        for member, name in enumerate(names)
    )


def first_fit(topology: Topology, demand: Demand) -> MemberCounts | None:
    """Return the member counts by worker, or None when the whole gang does not fit."""
    if demand.adjacency is Adjacency.ANY:
        return _fill(topology.schedulable_workers(), demand)
    if demand.adjacency is Adjacency.RACK:
        for rack in topology.racks.values():
            counts = _fill((w for w in rack.workers.values() if w.is_schedulable()), demand)
            if counts is not None:
                return counts
        return None
    for worker in topology.schedulable_workers():
        if worker.fitting_members(demand) >= demand.members:
            return {worker.name: demand.members}
    return None


def _fill(workers: Iterable[WorkerState], demand: Demand) -> MemberCounts | None:
    counts: MemberCounts = {}
    missing = demand.members
    for worker in workers:
        taken = min(worker.fitting_members(demand), missing)
        if taken:
            counts[worker.name] = taken
            missing -= taken
        if missing == 0:
            return counts
    return None
