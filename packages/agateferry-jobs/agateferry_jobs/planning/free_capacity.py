"""Whether most of a service's capacity is free, which bounds how long jobs wait by choice."""

from collections.abc import Sequence

from agateferry_jobs.ledger.specs import sum_of
from agateferry_jobs.planning.fleet import Fleet
from agateferry_jobs.planning.worker_allocation import WorkerAllocation

MOSTLY_FREE_BELOW = 0.5
"""The share in use below which most of a service's capacity is free, as the platform counts."""
MOSTLY_USED_FROM = 0.6
"""The share in use from which it no longer is; hysteresis, as runs start and end at any time."""
MAX_SILENT_SHARE = 0.25
"""How much silent workers count at most, as a share of the capacity of those that answer.

The platform counts workers that are up but cut off from the leader, whose runs have lapsed. The
leader cannot tell them from those that are down.
"""


def share_in_use(workers: Sequence[WorkerAllocation]) -> float:
    """Return the share of the capacity of workers that runs hold, in weighted cores.

    The runs of silent workers do not count.
    """
    answering = [worker for worker in workers if worker.health.answers]
    capacity = _weighted_capacity(answering)
    if not capacity:
        return 1.0
    silent = _weighted_capacity(workers) - capacity
    used = sum_of(run.step.need for worker in answering for run in worker.runs).weighted_cores
    return used / (capacity + min(silent, MAX_SILENT_SHARE * capacity))


def _weighted_capacity(workers: Sequence[WorkerAllocation]) -> float:
    return sum_of(worker.incarnation.capacity for worker in workers).weighted_cores


class FreeCapacity:
    """The services of which most capacity is free, from one plan to the next."""

    def __init__(self) -> None:
        self._mostly_free: set[str] = set()

    def observe(self, fleet: Fleet) -> None:
        """Find out of which services most capacity is free now."""
        self._mostly_free = {
            service
            for service, workers in fleet.by_service.items()
            if _smallest_share_in_use(workers) < self._limit(service)
        }

    def is_mostly_free(self, service: str) -> bool:
        """Return whether most of a service's capacity is free, as last observed."""
        return service in self._mostly_free

    def _limit(self, service: str) -> float:
        return MOSTLY_USED_FROM if service in self._mostly_free else MOSTLY_FREE_BELOW


def _smallest_share_in_use(workers: Sequence[WorkerAllocation]) -> float:
    """Return the share in use of all workers, or of those that are neither draining nor evacuated.

    It is the smaller of the two, since the platform may count either.
    """
    ready = [worker for worker in workers if worker.is_ready]
    return min(share_in_use(workers), share_in_use(ready))
