"""What each job can still earn its caller, what it needs for that, and what a wait costs it.

A job earns its worth in time, a part of it late, and nothing once it is hopeless. Its worth grows
with its priority and with its size against its queue. Values are compared within one plan only, so
they have no unit.
"""

from collections import defaultdict
from collections.abc import Iterable
from functools import cached_property

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.ledger import Job
from agateferry_jobs.planning.timing import Lateness, Timing
from agateferry_jobs.size_weight import size_weight

PRIORITY_FACTOR = 2.0
"""How many times as much a mean job counts as one of the next lower priority."""
EARNED_SHARES = {Lateness.IN_TIME: 1.0, Lateness.LATE: 0.3, Lateness.HOPELESS: 0.0}
"""The share of its worth that a job earns; a late result is still of some use to most callers."""
AGING = 3.0
"""By how much of itself the density of a job has grown at the end of its slack."""
MIN_CORE_SECONDS = 0.001
"""A floor, so that the density of a job whose duration is not known is finite."""


class JobValues:
    """The values of jobs at one moment; each is computed once, when it is first asked for.

    Jobs are compared with those that are not over.
    """

    def __init__(self, jobs: Iterable[Job], timing: Timing, now_ms: int) -> None:
        self._jobs = [job for job in jobs if not job.is_over]
        self._timing = timing
        self._now_ms = now_ms
        self._core_seconds: dict[str, float] = {}
        self._waits_ms: dict[str, int] = {}

    def core_seconds(self, job: Job) -> float:
        """Return the expected work of a job; an accelerator counts as several cores."""
        work = self._core_seconds.get(job.id)
        if work is None:
            work = self._timing.estimate(job, "work", lambda: self._timing.core_seconds(job))
            self._core_seconds[job.id] = work
        return work

    def step_core_seconds(self, job: Job, number: int) -> float:
        """Return the expected work of all subtasks of one step."""
        step = job.spec.steps[number]
        duration_s = self._timing.expected_duration_ms(job, number) / MS_PER_S
        return step.count * step.need.weighted_cores * duration_s

    def worth(self, job: Job) -> float:
        """Return what a job earns in time."""
        weight = PRIORITY_FACTOR ** -max(0, job.priority)
        mean = self._mean_core_seconds.get(job.queue, 0.0)
        return weight * size_weight(self.core_seconds(job), mean) if mean else weight

    def waited_ms(self, job: Job) -> int:
        """Return how long the first unfinished occurrence of a job has waited."""
        waited_ms = self._waits_ms.get(job.id)
        if waited_ms is None:
            waited_ms = self._timing.waited_in_all_ms(job, self._now_ms)
            self._waits_ms[job.id] = waited_ms
        return waited_ms

    def lateness(self, job: Job) -> Lateness:
        """Return how a job would end if it started now."""
        return self._timing.lateness(job, self.waited_ms(job))

    def remaining_slack_ms(self, job: Job) -> float:
        """Return how much longer a job may wait and still end within its objective."""
        return self._timing.slack_ms(job) - self.waited_ms(job)

    def density(self, job: Job, is_aged: bool = False) -> float:
        """Return what a job can still earn for each core-second that it needs.

        With age it grows with the wait, to `1 + AGING` times as much at the end of the slack.
        """
        density = self.worth(job) * EARNED_SHARES[self.lateness(job)]
        density /= max(MIN_CORE_SECONDS, self.core_seconds(job))
        if not is_aged:
            return density
        return density * (1 + AGING * self.waited_ms(job) / max(1.0, self._timing.slack_ms(job)))

    def gain_of_start(self, job: Job) -> float:
        """Return how much more a job earns if it starts now than if it ends late."""
        shares = EARNED_SHARES
        return self.worth(job) * (shares[self.lateness(job)] - shares[Lateness.LATE])

    def loss_of_stop(self, job: Job, started_ms: int, delay_ms: float) -> float:
        """Return what a job earns less if a run that started then begins again after a delay.

        The loss is nothing for a job that is hopeless, and for one that will still be in time.
        """
        waited_ms = self.waited_ms(job)
        ran_ms = max(0, self._now_ms - started_ms)
        if_kept = self._timing.lateness(job, max(0, waited_ms - ran_ms))
        if_stopped = self._timing.lateness(job, round(waited_ms + delay_ms))
        return self.worth(job) * max(0.0, EARNED_SHARES[if_kept] - EARNED_SHARES[if_stopped])

    @cached_property
    def worth_per_core_second(self) -> float:
        """Return what the jobs earn in time for their work; 0 if no duration is known."""
        work = sum(map(self.core_seconds, self._jobs))
        return sum(map(self.worth, self._jobs)) / work if work else 0.0

    @cached_property
    def _mean_core_seconds(self) -> dict[str, float]:
        """The mean work of the jobs of each queue."""
        by_queue: dict[str, list[float]] = defaultdict(list)
        for job in self._jobs:
            by_queue[job.queue].append(self.core_seconds(job))
        return {queue: sum(works) / len(works) for queue, works in by_queue.items()}
