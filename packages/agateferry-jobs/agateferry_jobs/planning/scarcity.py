"""Whether more work waits than the workers have free."""

from collections.abc import Iterable, Mapping

from agateferry_jobs.ledger.specs import Resources, sum_of
from agateferry_jobs.planning.fleet import Fleet
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.worker_allocation import NOTHING


def is_capacity_scarce(needs: Mapping[str, Resources], fleet: Fleet) -> bool:
    """Return whether the subtasks that wait for any service need more than its workers have free.

    `needs` has by service what they need. Resources of stopping runs count as free.
    """
    return any(not need.fits(_free(fleet, service)) for service, need in needs.items())


def need_of(all_ready: Iterable[ReadySubtasks]) -> Resources:
    """Return what the ready subtasks of several steps need together."""
    cpu = mem_mb = gpu = 0
    for ready in all_ready:
        need, count = ready.step.need, len(ready.names)
        cpu += need.cpu * count
        mem_mb += need.mem_mb * count
        gpu += need.gpu * count
    return Resources(cpu, mem_mb, gpu)


def _free(fleet: Fleet, service: str) -> Resources:
    return sum_of(
        worker.free_after_stops.max(NOTHING)
        for worker in fleet.by_service.get(service, ())
        if worker.is_ready and worker.health.may_start_runs
    )
