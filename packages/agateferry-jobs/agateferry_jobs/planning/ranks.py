"""The rank of each job: the order in which jobs are planned, and which runs may be preempted.

The most urgent jobs of a team whose urgent jobs need no more than its guarantee rank first: the
platform guarantees that they start at once. If they need more, the team borrows, so all its urgent
jobs rank second and may be preempted. All other jobs follow by their priority.
"""

from collections import defaultdict
from collections.abc import Iterable

from agateferry_jobs.ledger import Job
from agateferry_jobs.manifest import Manifest

URGENT_PRIORITY = 0
GUARANTEED_RANK = 0
BORROWED_RANK = 1
LOWEST_RANK = 4
"""The rank of runs whose job is over; no job ranks below it."""


def rank_jobs(jobs: Iterable[Job], manifest: Manifest | None) -> dict[str, int]:
    """Return the rank of each job that is not over, by its id; rank 0 is planned first."""
    open_jobs = [job for job in jobs if not job.is_over]
    needed = urgent_gpus(open_jobs)
    return {job.id: _rank(job, needed, manifest) for job in open_jobs}


def urgent_gpus(jobs: Iterable[Job]) -> dict[str, int]:
    """Return how many accelerators the urgent jobs of each team need that are not over."""
    needed: dict[str, int] = defaultdict(int)
    for job in jobs:
        if job.priority == URGENT_PRIORITY and not job.is_over:
            needed[job.team] += _total_gpus(job)
    return needed


def _rank(job: Job, needed: dict[str, int], manifest: Manifest | None) -> int:
    if job.priority != URGENT_PRIORITY:
        return BORROWED_RANK + job.priority
    team = manifest.team_named(job.team) if manifest is not None else None
    guaranteed = team.reserved_gpus if team is not None else 0
    return GUARANTEED_RANK if needed[job.team] <= guaranteed else BORROWED_RANK


def _total_gpus(job: Job) -> int:
    return sum(step.count * step.need.gpu for step in job.spec.steps)
