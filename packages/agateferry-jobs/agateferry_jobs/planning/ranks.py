"""Who goes before whom, and whose runs may be taken back for whom.

The most urgent jobs of a team that asks for no more than its reserve come first: the platform
promises that they start at once. A team that asks for more borrows, so its urgent jobs come second
and give way. All other jobs follow by their priority.
"""

from collections import defaultdict
from collections.abc import Iterable

from agateferry_jobs.ledger import Job
from agateferry_jobs.manifest import Manifest

URGENT_PRIORITY = 0
RESERVED_RANK = 0
BORROWED_RANK = 1
LOWEST_RANK = 4
"""What counts for runs of jobs that are over; nothing ranks below it."""


def rank_jobs(jobs: Iterable[Job], manifest: Manifest | None) -> dict[str, int]:
    """Return the rank of each job that is not over, by its id; 0 goes first."""
    open_jobs = [job for job in jobs if not job.is_over]
    asked: dict[str, int] = defaultdict(int)
    for job in open_jobs:
        if job.priority == URGENT_PRIORITY:
            asked[job.team] += _gpus(job)
    return {job.id: _rank(job, asked, manifest) for job in open_jobs}


def _rank(job: Job, asked: dict[str, int], manifest: Manifest | None) -> int:
    if job.priority != URGENT_PRIORITY:
        return BORROWED_RANK + job.priority
    team = manifest.team_named(job.team) if manifest is not None else None
    reserved = team.reserved_gpus if team is not None else 0
    return RESERVED_RANK if asked[job.team] <= reserved else BORROWED_RANK


def _gpus(job: Job) -> int:
    return sum(step.count * step.need.gpu for step in job.spec.steps)
