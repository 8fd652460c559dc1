"""Until when a job must start to be in time, as far as its declared length tells."""

from enum import IntEnum

from agateferry_jobs.ledger import Job
from agateferry_jobs.manifest import Manifest

LATE_FACTOR = 3
"""Up to three times its objective a job still earns a part, as the platform's rules say."""


class Lateness(IntEnum):
    """What a job can still reach if it starts now; what reaches more goes first."""

    IN_TIME = 0
    LATE = 1
    HOPELESS = 2


def chain_ms(job: Job) -> int:
    """Return the longest chain of declared lengths through the job's steps."""
    ends: list[int] = []
    for step in job.spec.steps:
        begin = max((ends[earlier] for earlier in step.depends_on), default=0)
        ends.append(begin + step.estimated_ms)
    return max(ends, default=0)


def slack_ms(job: Job, manifest: Manifest | None) -> float:
    """Return how long a job may wait in all and still end within its objective."""
    queue = manifest.queue_named(job.queue) if manifest is not None else None
    if queue is None:
        return 0.0
    return (queue.stretch - 1) * chain_ms(job) + queue.target_ms


def lateness(job: Job, manifest: Manifest | None, waited_ms: int) -> Lateness:
    """Return what a job that has not started can still reach after a wait."""
    slack = slack_ms(job, manifest)
    if waited_ms <= slack:
        return Lateness.IN_TIME
    objective = slack + chain_ms(job)
    return (
        Lateness.LATE if waited_ms <= slack + (LATE_FACTOR - 1) * objective else Lateness.HOPELESS
    )
