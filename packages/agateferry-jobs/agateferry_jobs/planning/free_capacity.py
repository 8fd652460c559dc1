"""Since when most of a service's capacity is free, which bounds how long jobs wait by choice."""

from collections.abc import Mapping, Sequence
from types import MappingProxyType

from agateferry_jobs.ledger.specs import sum_of
from agateferry_jobs.planning.fleet import Fleet
from agateferry_jobs.planning.worker_allocation import WorkerAllocation

MOSTLY_FREE_BELOW = 0.5
"""The share in use below which most of a service's capacity is free, as the platform counts."""
MAX_SILENT_SHARE = 0.25
"""How much silent workers count at most, as a share of the capacity of those that answer.

The platform counts workers that are up but cut off from the leader, whose runs have lapsed. The
leader cannot tell them from those that are down.
"""


def share_in_use(fleet: Fleet, service: str) -> float:
    """Return the share of the capacity of a service's workers that runs hold, in weighted cores.

    The runs of silent workers do not count; draining and evacuated workers are left out.
    """
    workers = [worker for worker in fleet.by_service.get(service, ()) if worker.is_ready]
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
    """Since when most of the capacity of each service is free, from one plan to the next."""

    def __init__(self) -> None:
        self._since_ms: dict[str, int] = {}

    def observe(self, fleet: Fleet, now_ms: int) -> Mapping[str, int]:
        """Return since when most is free, by service; a service that is mostly used is left out."""
        self._since_ms = {
            service: min(now_ms, self._since_ms.get(service, now_ms))
            for service in fleet.by_service
            if share_in_use(fleet, service) < MOSTLY_FREE_BELOW
        }
        return MappingProxyType(self._since_ms)
