"""How long a job may wait and still meet its objective, by the expected duration of its steps."""

import math
from collections.abc import Callable, Hashable
from enum import IntEnum

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.ledger import Job, Ledger
from agateferry_jobs.ledger.specs import critical_path_ms

LATE_FACTOR = 3
"""The platform still gives part of a job's worth up to this many times its objective."""

FEW_STEPS = 32
"""The estimates about a job with no more steps are computed in each plan."""
ESTIMATE_RETENTION_MS = 1_000
"""How long the estimates about a job of more steps are kept."""


class Lateness(IntEnum):
    """How a job would end if it started now; jobs are planned in this order.

    `IN_TIME` is within the objective and `LATE` within `LATE_FACTOR` objectives.
    """

    IN_TIME = 0
    LATE = 1
    HOPELESS = 2


class LargeJobEstimates:
    """Estimates about jobs of many steps, which outlast a plan.

    They take time that grows with the steps, and change with each run that ends.
    """

    def __init__(self) -> None:
        self._now_ms = 0
        self._found: dict[tuple[str, Hashable], tuple[int, float]] = {}

    def begin_plan(self, now_ms: int) -> None:
        """Begin a plan; estimates that are too old are computed anew."""
        self._now_ms = now_ms
        oldest_ms = now_ms - ESTIMATE_RETENTION_MS
        self._found = {key: each for key, each in self._found.items() if each[0] > oldest_ms}

    def find(self, job: Job, about: Hashable, compute: Callable[[], float]) -> float:
        """Return the estimate about a job, which is computed anew for one of few steps."""
        if len(job.spec.steps) <= FEW_STEPS:
            return compute()
        key = (job.id, about)
        if key not in self._found:
            self._found[key] = (self._now_ms, compute())
        return self._found[key][1]


class Timing:
    """Compute the slack and the waits of jobs from the durations that the ledger has recorded.

    Each plan uses a new instance, since expected durations change with each run that ends. Only
    `estimates` outlast a plan.
    """

    def __init__(
        self,
        ledger: Ledger,
        learns_durations: bool = True,
        estimates: "LargeJobEstimates | None" = None,
    ) -> None:
        self._ledger = ledger
        self._learns_durations = learns_durations
        self._estimates = estimates or LargeJobEstimates()
        self._durations: dict[tuple[str, int], int] = {}
        self._critical_paths: dict[str, int] = {}
        self._slacks_ms: dict[str, float] = {}
        self._done_paths: dict[tuple[str, int], int] = {}

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
        """Return the expected duration of a subtask of each step; many steps share a duration."""
        found = {
            step.estimated_ms: self.expected_duration_ms(job, number)
            for number, step in self._ledger.progress_of(job).steps_by_duration
        }
        return [found[step.estimated_ms] for step in job.spec.steps]

    def critical_path_ms(self, job: Job) -> int:
        """Return the expected duration of the job's critical path through its steps."""
        path_ms = self._critical_paths.get(job.id)
        if path_ms is None:
            path_ms = round(self.estimate(job, "path", lambda: self._compute_path_ms(job)))
            self._critical_paths[job.id] = path_ms
        return path_ms

    def estimate(self, job: Job, about: Hashable, compute: Callable[[], float]) -> float:
        """Return an estimate about a job; one of many steps is not computed in each plan."""
        return self._estimates.find(job, about, compute)

    def core_seconds(self, job: Job) -> float:
        """Return the expected work of a job; an accelerator counts as several cores."""
        work = self._ledger.progress_of(job).cores_by_duration
        return sum(
            cores * self.expected_duration_ms(job, number) / MS_PER_S
            for number, cores in work.items()
        )

    def _compute_path_ms(self, job: Job) -> int:
        return critical_path_ms(job.spec.steps, self._expected_durations_ms(job))

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
        return max(0, now_ms - since_ms - self._done_path_ms(job, occurrence))

    def waited_in_all_ms(self, job: Job, now_ms: int) -> int:
        """Return how long the first unfinished occurrence of a job has waited."""
        occurrence = self._ledger.progress_of(job).first_unfinished_occurrence()
        return self.waited_ms(job, occurrence, now_ms)

    def _done_path_ms(self, job: Job, occurrence: int) -> int:
        """Return the expected duration of the critical path through the steps that are done."""
        if len(job.spec.steps) == 1:
            return 0
        key = (job.id, occurrence)
        done_ms = self._done_paths.get(key)
        if done_ms is None:
            done_ms = round(
                self.estimate(job, occurrence, lambda: self._compute_done_path_ms(job, occurrence))
            )
            self._done_paths[key] = done_ms
        return done_ms

    def _compute_done_path_ms(self, job: Job, occurrence: int) -> int:
        undone = self._ledger.progress_of(job).undone_by_step(occurrence)
        durations_ms = self._expected_durations_ms(job)
        done = [0 if left else each for left, each in zip(undone, durations_ms, strict=True)]
        return critical_path_ms(job.spec.steps, done)

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
