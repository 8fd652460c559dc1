"""Whether more work waits than the workers have free."""

from collections import defaultdict
from collections.abc import Iterable

from agateferry_jobs.ledger.specs import Resources, sum_of
from agateferry_jobs.planning.fleet import Fleet
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.worker_allocation import NOTHING


def is_capacity_scarce(waiting: Iterable[tuple[str, ReadySubtasks]], fleet: Fleet) -> bool:
    """Return whether the subtasks that wait for any service need more than its workers have free.

    Each of the waiting subtasks comes with its service. Resources of stopping runs count as free.
    """
    by_service: dict[str, list[ReadySubtasks]] = defaultdict(list)
    for service, ready in waiting:
        by_service[service].append(ready)
    return any(
        not _need(all_ready).fits(_free(fleet, service))
        for service, all_ready in by_service.items()
    )


def _need(all_ready: Iterable[ReadySubtasks]) -> Resources:
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
