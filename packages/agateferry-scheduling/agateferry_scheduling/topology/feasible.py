"""Whether the workers of a zone could hold a demand if they were all empty."""

from collections import defaultdict
from collections.abc import Iterable

from agateferry_core.demand import Adjacency, Demand, Worker
from agateferry_scheduling.topology.state import capacity_for


def why_infeasible(demand: Demand, workers: Iterable[Worker]) -> str | None:
    """Return why the demand can never run on these workers, or None when it can.

    For example a gang of 64 members with adjacency rack, in a zone whose racks have 8 workers of 4
    slots each, gives "a rack holds at most 32 of the 64 members".
    """
    by_rack: dict[str, int] = defaultdict(int)
    most_on_one_worker = 0
    for worker in workers:
        fitting = capacity_for(worker, demand)
        most_on_one_worker = max(most_on_one_worker, fitting)
        by_rack[worker.rack] += fitting
    if most_on_one_worker == 0:
        return "no worker of the zone is large enough for one member"
    fitting = sum(by_rack.values())
    scope = "the zone"
    if demand.adjacency is Adjacency.RACK:
        fitting = max(by_rack.values())
        scope = "a rack"
    if demand.adjacency is Adjacency.WORKER:
        fitting = most_on_one_worker
        scope = "a worker"
    if fitting < demand.members:
        return f"{scope} holds at most {fitting} of the {demand.members} members"
    return None
