"""Whether a zone could ever run a demand, were all its workers empty."""

from collections import defaultdict
from collections.abc import Iterable

from agateferry_core.demand import Adjacency, Demand, Worker
from agateferry_scheduling.topology.state import capacity_for


def why_infeasible(demand: Demand, workers: Iterable[Worker]) -> str | None:
    """Return why the demand can never run on these workers, or None when it can.

    For example a gang of 64 that must sit in one rack of 8 workers with 4 slots each gives "no
    rack holds more than 32 of the 64 members".
    """
    by_rack: dict[str, int] = defaultdict(int)
    largest = 0
    for worker in workers:
        room = capacity_for(worker, demand)
        largest = max(largest, room)
        by_rack[worker.rack] += room
    if largest == 0:
        return "no worker of the zone is large enough for one member"
    room = sum(by_rack.values())
    place = "the zone"
    if demand.adjacency is Adjacency.RACK:
        room = max(by_rack.values())
        place = "a rack"
    if demand.adjacency is Adjacency.WORKER:
        room = largest
        place = "a worker"
    if room < demand.members:
        return f"{place} holds at most {room} of the {demand.members} members"
    return None
