"""Until when a job must start to be in time, as far as lengths are known."""

from enum import IntEnum

from agateferry_jobs.ledger import Job, Ledger
from agateferry_jobs.ledger.specs import longest_ms

LATE_FACTOR = 3
"""Up to three times its objective a job still earns a part, as the platform's rules say."""


class Lateness(IntEnum):
    """What a job can still reach if it starts now; what reaches more goes first."""

    IN_TIME = 0
    LATE = 1
    HOPELESS = 2


class Timing:
    """Work out the slack and the waits of jobs from the lengths that the ledger has learned.

    One is made for each plan, since lengths change with each run that ends.
    """

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._lengths: dict[tuple[str, int], int] = {}

    def length_ms(self, job: Job, step: int) -> int:
        """Return how long a subtask of a step is expected to run."""
        key = (job.queue, job.spec.steps[step].estimated_ms)
        length_ms = self._lengths.get(key)
        if length_ms is None:
            length_ms = self._lengths[key] = self._ledger.expected_ms(*key)
        return length_ms

    def _lengths_ms(self, job: Job) -> list[int]:
        return [self.length_ms(job, step) for step in range(len(job.spec.steps))]

    def chain_ms(self, job: Job) -> int:
        """Return the longest chain of expected lengths through the job's steps."""
        return longest_ms(job.spec.steps, self._lengths_ms(job))

    def slack_ms(self, job: Job) -> float:
        """Return how long a job may wait in all and still end within its objective."""
        manifest = self._ledger.manifest
        queue = manifest.queue_named(job.queue) if manifest is not None else None
        if queue is None:
            return 0.0
        return (queue.stretch - 1) * self.chain_ms(job) + queue.target_ms

    def waited_ms(self, job: Job, occurrence: int, now_ms: int) -> int:
        """Return how long an occurrence has waited beside the length of what it has done.

        A job of two steps of 1 s each that was handed in 1.5 s ago and has its first step done has
        waited for 0.5 s.
        """
        since_ms = max(job.spec.due_ms(occurrence), job.accepted_ms)
        steps = range(len(job.spec.steps))
        done_ms = 0
        if len(steps) > 1:
            lengths_ms = self._lengths_ms(job)
            done = [job.is_step_done(occurrence, step) * lengths_ms[step] for step in steps]
            done_ms = longest_ms(job.spec.steps, done)
        return max(0, now_ms - since_ms - done_ms)

    def hopeless_after_ms(self, job: Job) -> float:
        """Return the wait after which a job reaches nothing any more, not even late."""
        slack = self.slack_ms(job)
        return slack + (LATE_FACTOR - 1) * (slack + self.chain_ms(job))

    def lateness(self, job: Job, waited_ms: int) -> Lateness:
        """Return what a job that has not started can still reach after a wait."""
        if waited_ms <= self.slack_ms(job):
            return Lateness.IN_TIME
        is_late = waited_ms <= self.hopeless_after_ms(job)
        return Lateness.LATE if is_late else Lateness.HOPELESS


def open_occurrence(job: Job) -> int:
    """Return the first occurrence of which not all is done."""
    steps = range(len(job.spec.steps))
    for occurrence in range(job.spec.occurrences - 1):
        if not all(job.is_step_done(occurrence, step) for step in steps):
            return occurrence
    return job.spec.occurrences - 1
