"""Since when most of a service's capacity is free, which bounds how long jobs wait by choice."""

from collections.abc import Mapping
from types import MappingProxyType

from agateferry_jobs.ledger.specs import sum_of
from agateferry_jobs.planning.fleet import Fleet

MOSTLY_FREE_BELOW = 0.6
"""The share in use below which most of a service's capacity counts as free.

The platform counts from half on. It also sees workers that are up but cut off from the leader, so
that its share is lower than the one computed here.
"""


def share_in_use(fleet: Fleet, service: str) -> float:
    """Return the share of the capacity of a service's workers that runs hold, in weighted cores.

    Workers that do not answer are left out with their runs, draining and evacuated ones too.
    """
    workers = [
        worker
        for worker in fleet.by_service.get(service, ())
        if worker.is_ready and worker.health.answers
    ]
    capacity = sum_of(worker.incarnation.capacity for worker in workers).weighted_cores
    used = sum_of(run.step.need for worker in workers for run in worker.runs).weighted_cores
    return used / capacity if capacity else 1.0


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
