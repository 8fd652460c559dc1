"""The rank of each job: the order in which jobs are planned, and which runs may be preempted.

The urgent jobs of a team rank first as far as its guarantee goes: in the order of their acceptance,
each that still fits into the guarantee beside those before it. The platform guarantees that they
start at once, whatever the team asks for later. The team's other urgent jobs borrow: they rank
second and may be preempted. All other jobs follow by their priority.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable

from agateferry_jobs.ledger import Job
from agateferry_jobs.ledger.specs import peak_gpus
from agateferry_jobs.manifest import Manifest

URGENT_PRIORITY = 0
GUARANTEED_RANK = 0
BORROWED_RANK = 1
LOWEST_RANK = 4
"""The rank of runs whose job is over; no job ranks below it."""


def _peak_gpus(job: Job) -> int:
    return peak_gpus(job.spec.steps)


def rank_jobs(
    jobs: Iterable[Job],
    manifest: Manifest | None,
    find_peak: Callable[[Job], int] = _peak_gpus,
) -> dict[str, int]:
    """Return the rank of each job that is not over, by its id; rank 0 is planned first.

    The jobs come in the order in which the ledger accepted them. Their times of acceptance may not:
    the clocks of two leaders differ. `find_peak` returns what a job needs at the same time.
    """
    left: dict[str, int] = {}
    ranks: dict[str, int] = {}
    for job in jobs:
        if job.is_over:
            continue
        if job.priority != URGENT_PRIORITY:
            ranks[job.id] = BORROWED_RANK + job.priority
            continue
        left.setdefault(job.team, guaranteed_gpus(job.team, manifest))
        needed = find_peak(job)
        fits = needed <= left[job.team]
        ranks[job.id] = GUARANTEED_RANK if fits else BORROWED_RANK
        left[job.team] -= needed if fits else 0
    return ranks


def guaranteed_gpus(team: str, manifest: Manifest | None) -> int:
    """Return how many accelerators a team is guaranteed; 0 for one that is not known."""
    known = manifest.team_named(team) if manifest is not None else None
    return known.reserved_gpus if known is not None else 0


def urgent_gpus(
    jobs: Iterable[Job], find_peak: Callable[[Job], int] = _peak_gpus
) -> dict[str, int]:
    """Return how many accelerators the urgent jobs of each team need that are not over."""
    needed: dict[str, int] = defaultdict(int)
    for job in jobs:
        if job.priority == URGENT_PRIORITY and not job.is_over:
            needed[job.team] += find_peak(job)
    return needed
