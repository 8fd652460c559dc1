"""How long a job may wait and still meet its objective, by the expected duration of its steps."""

import math
from enum import IntEnum

from agateferry_jobs.ledger import Job, Ledger
from agateferry_jobs.ledger.specs import critical_path_ms

LATE_FACTOR = 3
"""The platform still gives part of a job's worth up to this many times its objective."""


class Lateness(IntEnum):
    """How a job would end if it started now; jobs are planned in this order.

    `IN_TIME` is within the objective and `LATE` within `LATE_FACTOR` objectives.
    """

    IN_TIME = 0
    LATE = 1
    HOPELESS = 2


class Timing:
    """Compute the slack and the waits of jobs from the durations that the ledger has recorded.

    Each plan uses a new instance, since expected durations change with each run that ends.
    """

    def __init__(self, ledger: Ledger, learns_durations: bool = True) -> None:
        self._ledger = ledger
        self._learns_durations = learns_durations
        self._durations: dict[tuple[str, int], int] = {}
        self._critical_paths: dict[str, int] = {}
        self._slacks_ms: dict[str, float] = {}

    def expected_duration_ms(self, job: Job, step: int) -> int:
        """Return how long a subtask of the step with this number is expected to run."""
        declared_ms = job.spec.steps[step].estimated_ms
        if not self._learns_durations:
            return declared_ms
        key = (job.queue, declared_ms)
        duration_ms = self._durations.get(key)
        if duration_ms is None:
            duration_ms = self._durations[key] = self._ledger.expected_duration_ms(*key)
        return duration_ms

    def _expected_durations_ms(self, job: Job) -> list[int]:
        return [self.expected_duration_ms(job, step) for step in range(len(job.spec.steps))]

    def critical_path_ms(self, job: Job) -> int:
        """Return the expected duration of the job's critical path through its steps."""
        path_ms = self._critical_paths.get(job.id)
        if path_ms is None:
            path_ms = critical_path_ms(job.spec.steps, self._expected_durations_ms(job))
            self._critical_paths[job.id] = path_ms
        return path_ms

    def slack_ms(self, job: Job) -> float:
        """Return how long a job may wait in total and still end within its objective."""
        slack_ms = self._slacks_ms.get(job.id)
        if slack_ms is None:
            slack_ms = self._slacks_ms[job.id] = self._compute_slack_ms(job)
        return slack_ms

    def _compute_slack_ms(self, job: Job) -> float:
        queue = self._ledger.queue_of(job)
        if queue is None:
            return 0.0
        return (queue.stretch - 1) * self.critical_path_ms(job) + queue.target_ms

    def waited_ms(self, job: Job, occurrence: int, now_ms: int) -> int:
        """Return the age of an occurrence less the expected duration of its done steps.

        A job of two steps of 1 s each that was submitted 1.5 s ago and whose first step is done has
        waited for 0.5 s.
        """
        since_ms = max(job.spec.due_ms(occurrence), job.accepted_ms)
        steps = range(len(job.spec.steps))
        done_ms = 0
        if len(steps) > 1:
            durations_ms = self._expected_durations_ms(job)
            done = [job.is_step_done(occurrence, step) * durations_ms[step] for step in steps]
            done_ms = critical_path_ms(job.spec.steps, done)
        return max(0, now_ms - since_ms - done_ms)

    def hopeless_after_ms(self, job: Job) -> float:
        """Return the wait after which a job cannot even end within `LATE_FACTOR` objectives."""
        slack = self.slack_ms(job)
        return slack + (LATE_FACTOR - 1) * (slack + self.critical_path_ms(job))

    def pace_limit(self, job: Job, waited_ms: int) -> float:
        """Return the largest pace at which a job that has waited this long can end in time."""
        path_ms = self.critical_path_ms(job)
        return 1 + (self.slack_ms(job) - waited_ms) / path_ms if path_ms else math.inf

    def lateness(self, job: Job, waited_ms: int) -> Lateness:
        """Return whether a job that has waited this long can still end in time or late."""
        if waited_ms <= self.slack_ms(job):
            return Lateness.IN_TIME
        is_late = waited_ms <= self.hopeless_after_ms(job)
        return Lateness.LATE if is_late else Lateness.HOPELESS


def first_unfinished_occurrence(job: Job) -> int:
    """Return the first occurrence that has an unfinished step, or the last one."""
    steps = range(len(job.spec.steps))
    for occurrence in range(job.spec.occurrences - 1):
        if not all(job.is_step_done(occurrence, step) for step in steps):
            return occurrence
    return job.spec.occurrences - 1
