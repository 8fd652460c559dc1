"""Which subtasks may start now, and what decides where and when they start."""

from collections.abc import Collection, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace

from agateferry_jobs.ledger import Job, Ledger
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.ledger.state import RunKey
from agateferry_jobs.planning.crash_suspects import CrashSuspects
from agateferry_jobs.planning.fleet import Fleet
from agateferry_jobs.planning.idle_jobs import MAX_IDLE_BY_CHOICE_MS
from agateferry_jobs.planning.options import PolicyOptions
from agateferry_jobs.planning.pace_limits import prefers_slow
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.timing import Timing


@dataclass(frozen=True, slots=True)
class Readiness:
    """Find the subtasks that may start as of one plan.

    Those in `held` may not. `free_since_ms` is as for the `Planner`.
    """

    ledger: Ledger
    fleet: Fleet
    now_ms: int
    options: PolicyOptions
    ranks: Mapping[str, int]
    timing: Timing
    suspects: CrashSuspects
    held: Collection[RunKey]
    free_since_ms: Mapping[str, int]

    def ready_subtasks(self, job: Job) -> Iterator[ReadySubtasks]:
        """Return the subtasks of a job that may start now, by step and occurrence."""
        for occurrence in range(job.spec.occurrences):
            due_ms = job.spec.due_ms(occurrence)
            if due_ms > self.now_ms:
                return
            for number, step in enumerate(job.spec.steps):
                yield from self._ready_of_step(job, occurrence, number, step)

    def _ready_of_step(
        self, job: Job, occurrence: int, number: int, step: StepSpec
    ) -> Iterator[ReadySubtasks]:
        gang = f"{occurrence}.{number}"
        names = tuple(
            name
            for name in job.members(gang)
            if not job.subtasks[name].is_done and job.subtasks[name].active is None
        )
        if job.crashes or self.held:
            names = tuple(name for name in names if not self._must_wait(job, name))
        if not names or (step.is_gang and len(names) < step.count):
            return
        if not all(job.is_step_done(occurrence, earlier) for earlier in step.depends_on):
            return
        waited = self.timing.waited_ms(job, occurrence, self.now_ms)
        idle_ms = self._idle_ms(job, occurrence, names if step.is_long_running else ())
        ready = ReadySubtasks(
            job,
            gang,
            step,
            names,
            rank=self.ranks[job.id],
            expected_duration_ms=self.timing.expected_duration_ms(job, number),
            waited_ms=waited,
            hopeless_after_ms=self.timing.hopeless_after_ms(job),
            waited_slack_share=waited / max(1.0, self.timing.slack_ms(job)),
            idle_ms=idle_ms,
            may_wait_by_choice=not self.options.limits_idle_jobs or idle_ms < MAX_IDLE_BY_CHOICE_MS,
            prefers_slow=prefers_slow(job, self.ranks[job.id], waited, self.fleet, self.timing),
        )
        yield from self._split_suspects(ready)

    def _idle_ms(self, job: Job, occurrence: int, long_running: Sequence[str]) -> int:
        """Return for how long a job has been idle while most of its service's capacity was free.

        It is idle as long as nothing of it runs, or one of the given long-running subtasks.
        """
        free_since_ms = self.free_since_ms.get(self.ledger.service_of(job))
        if free_since_ms is None:
            return 0
        since_ms = job.idle_since_ms(occurrence)
        if long_running:
            due_ms = max(job.accepted_ms, job.spec.due_ms(occurrence))
            since_ms = max(due_ms, min(job.subtasks[name].ended_ms for name in long_running))
        return max(0, self.now_ms - max(since_ms, free_since_ms)) if since_ms is not None else 0

    def _must_wait(self, job: Job, name: str) -> bool:
        """Return whether a subtask is about to be given up, or was refused just now."""
        return self.suspects.is_guilty(job, name) or (job.id, name) in self.held

    def _split_suspects(self, ready: ReadySubtasks) -> Iterator[ReadySubtasks]:
        """Tell the suspects from the others; a gang with one suspect is suspected as a whole."""
        job = ready.job
        if not self.suspects.has_suspects(job):
            yield ready
            return
        suspects = tuple(name for name in ready.names if self.suspects.is_suspect(job, name))
        if not suspects:
            yield ready
            return
        since_ms = max(self.suspects.suspected_since_ms(job, name) for name in suspects)
        if ready.step.is_gang:
            suspects = ready.names
        others = tuple(name for name in ready.names if name not in suspects)
        if others:
            yield replace(ready, names=others)
        yield replace(ready, names=suspects, trial_wait_ms=self.now_ms - since_ms)
