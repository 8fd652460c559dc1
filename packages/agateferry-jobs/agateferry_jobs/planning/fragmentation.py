"""The cost of a placement: the room for other shapes of subtasks that it destroys.

A shape is what one subtask needs. The room of a worker for a shape is how many subtasks of it fit
into what is free, as a share of what fits into the empty worker. The cost of a placement is the
room that it takes, averaged over the shapes that wait or came lately, each weighted by the
resources that it asked for. All placements of a subtask take equal resources, so the least loss of
room is the least growth of fragmentation, as in fragmentation gradient descent (Weng et al., 2023).
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from typing import Protocol

from agateferry_jobs.ledger import Job
from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.planning.fleet import WorkerAllocation
from agateferry_jobs.planning.options import Placement

MAX_SHAPES = 12
"""How many shapes of a service are weighed, those with the most demand; it bounds the plan time."""
RECENT_MS = 10_000
"""How long after its acceptance the shapes of a job count as those that usually arrive."""
MAX_SUBTASKS_COUNTED = 64
"""How many subtasks of one step count, so that one job cannot decide the weights alone."""

ServiceOf = Callable[[Job], str]
WeightedShapes = tuple[tuple[Resources, float], ...]
"""Shapes with their weights; the weights add up to 1."""


class PlacementCost(Protocol):
    """State what it costs to place subtasks on a worker; the least cost is chosen."""

    def of(self, need: Resources, worker: WorkerAllocation, count: int = 1) -> float:
        """Return the cost of placing `count` subtasks that need this each."""


class FreeAccelerators:
    """Prefer the worker with the fewest free accelerators."""

    def of(self, need: Resources, worker: WorkerAllocation, count: int = 1) -> float:
        """Return the free accelerators before the placement."""
        return worker.free.gpu


class DominantShare:
    """Prefer the worker of which the least remains: best fit by the dominant remaining share."""

    def of(self, need: Resources, worker: WorkerAllocation, count: int = 1) -> float:
        """Return the largest share of any resource that stays free."""
        left, capacity = _less(worker.free, need, count), worker.largest_capacity
        return max(_shares(left, capacity))


class WholeWorkers:
    """Keep empty workers for subtasks that need all their accelerators."""

    def of(self, need: Resources, worker: WorkerAllocation, count: int = 1) -> float:
        """Return 1 for an empty worker that the placement fills only in part."""
        gpus = worker.largest_capacity.gpu
        return float(worker.free.gpu == gpus and need.gpu * count < gpus)


class LostRoom:
    """Prefer the worker on which the least room for the mix of shapes is lost.

    One instance serves one plan; each room is computed once.
    """

    def __init__(self, shapes: dict[str, WeightedShapes]) -> None:
        self._shapes = shapes
        self._rooms: dict[tuple[str, Resources, Resources], float] = {}

    def of(self, need: Resources, worker: WorkerAllocation, count: int = 1) -> float:
        """Return the lost room as a share of an empty worker's room."""
        service, capacity = worker.incarnation.service, worker.largest_capacity
        before = self._room(service, worker.free, capacity)
        return before - self._room(service, _less(worker.free, need, count), capacity)

    def _room(self, service: str, free: Resources, capacity: Resources) -> float:
        key = (service, free, capacity)
        room = self._rooms.get(key)
        if room is None:
            shapes = self._shapes.get(service, ())
            room = sum(weight * _room_share(need, free, capacity) for need, weight in shapes)
            self._rooms[key] = room
        return room


class FreeAcceleratorsThenRoom:
    """Prefer the worker with the fewest free accelerators, of equal ones by the lost room."""

    def __init__(self, lost_room: LostRoom) -> None:
        self._lost_room = lost_room

    def of(self, need: Resources, worker: WorkerAllocation, count: int = 1) -> float:
        """Return the free accelerators and half of the lost room, which is at most 1."""
        return worker.free.gpu + self._lost_room.of(need, worker, count) / 2


def placement_cost(
    placement: Placement, jobs: Iterable[Job], service_of: ServiceOf, now_ms: int
) -> PlacementCost:
    """Return the cost that a policy's option names, for the jobs of one moment."""
    if placement is Placement.LOST_ROOM:
        return LostRoom(weighted_shapes(jobs, service_of, now_ms))
    if placement is Placement.FULLEST_THEN_LOST_ROOM:
        return FreeAcceleratorsThenRoom(LostRoom(weighted_shapes(jobs, service_of, now_ms)))
    if placement is Placement.DOMINANT_SHARE:
        return DominantShare()
    if placement is Placement.WHOLE_WORKERS:
        return WholeWorkers()
    return FreeAccelerators()


def weighted_shapes(
    jobs: Iterable[Job], service_of: ServiceOf, now_ms: int
) -> dict[str, WeightedShapes]:
    """Return the shapes of open and of recent jobs by service, weighted by their demand."""
    demands: dict[str, Counter[Resources]] = defaultdict(Counter)
    for job in jobs:
        if job.is_over and now_ms - job.accepted_ms > RECENT_MS:
            continue
        demand = demands[service_of(job)]
        for step in job.spec.steps:
            demand[step.need] += min(step.count, MAX_SUBTASKS_COUNTED)
    return {service: _weighted(demand) for service, demand in demands.items()}


def _weighted(demand: Counter[Resources]) -> WeightedShapes:
    weights = {need: count * need.weighted_cores for need, count in demand.items()}
    largest = sorted(weights, key=lambda need: weights[need], reverse=True)[:MAX_SHAPES]
    total = sum(weights[need] for need in largest)
    return tuple((need, weights[need] / total) for need in largest) if total else ()


def _room_share(need: Resources, free: Resources, capacity: Resources) -> float:
    when_empty = _count_fitting(need, capacity)
    return _count_fitting(need, free) / when_empty if when_empty else 0.0


def _count_fitting(need: Resources, free: Resources) -> int:
    pairs = ((need.cpu, free.cpu), (need.mem_mb, free.mem_mb), (need.gpu, free.gpu))
    return max(0, min((has // asked for asked, has in pairs if asked), default=0))


def _less(free: Resources, need: Resources, count: int) -> Resources:
    return Resources(
        free.cpu - count * need.cpu,
        free.mem_mb - count * need.mem_mb,
        free.gpu - count * need.gpu,
    )


def _shares(part: Resources, whole: Resources) -> tuple[float, float, float]:
    return (
        part.cpu / max(1, whole.cpu),
        part.mem_mb / max(1, whole.mem_mb),
        part.gpu / max(1, whole.gpu),
    )
