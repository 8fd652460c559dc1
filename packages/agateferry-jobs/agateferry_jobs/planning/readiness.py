"""Which subtasks may start now, and what decides where and when they start."""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, replace

from agateferry_jobs.ledger import Job, Ledger
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.ledger.state import RunKey
from agateferry_jobs.planning.crash_suspects import CrashSuspects
from agateferry_jobs.planning.fleet import Fleet
from agateferry_jobs.planning.pace_limits import prefers_slow
from agateferry_jobs.planning.ranks import GUARANTEED_RANK
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.timing import Timing
from agateferry_jobs.start_budget import DEFAULT_BUDGET, StartBudget


@dataclass(frozen=True, slots=True)
class Readiness:
    """Find the subtasks that may start as of one plan, and those in `held`, which may not yet."""

    ledger: Ledger
    fleet: Fleet
    now_ms: int
    ranks: Mapping[str, int]
    timing: Timing
    suspects: CrashSuspects
    held: Collection[RunKey]
    budget: StartBudget = DEFAULT_BUDGET

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
        if job.crashes:
            names = tuple(name for name in names if not self.suspects.is_guilty(job, name))
        if not names or (step.is_gang and len(names) < step.count):
            return
        if not all(job.is_step_done(occurrence, earlier) for earlier in step.depends_on):
            return
        waited = self.timing.waited_ms(job, occurrence, self.now_ms)
        is_guaranteed = self.ranks[job.id] == GUARANTEED_RANK
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
            may_wait_by_choice=not is_guaranteed or waited < self.budget.choice_ms,
            prefers_slow=prefers_slow(job, self.ranks[job.id], waited, self.fleet, self.timing),
        )
        for each in self._split_held(ready):
            yield from self._split_suspects(each)

    def _split_held(self, ready: ReadySubtasks) -> Iterator[ReadySubtasks]:
        """Tell the held subtasks from the others; a gang with a held member is held as a whole."""
        held = tuple(name for name in ready.names if (ready.job.id, name) in self.held)
        if not held:
            yield ready
            return
        if ready.step.is_gang:
            held = ready.names
        others = tuple(name for name in ready.names if name not in held)
        if others:
            yield replace(ready, names=others)
        yield replace(ready, names=held, is_held=True)

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
