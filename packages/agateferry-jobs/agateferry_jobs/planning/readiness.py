"""Which subtasks may start now, and what decides where and when they start."""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field, replace
from itertools import islice

from agateferry_jobs.ledger import Job, Ledger
from agateferry_jobs.ledger.state import RunKey
from agateferry_jobs.planning.crash_suspects import CrashSuspects
from agateferry_jobs.planning.fleet import Fleet
from agateferry_jobs.planning.pace_limits import prefers_slow
from agateferry_jobs.planning.ranks import GUARANTEED_RANK
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.timing import Timing
from agateferry_jobs.start_budget import DEFAULT_BUDGET, StartBudget

MAX_READY_STEPS = 500
"""How many steps of one job a plan looks at, over all occurrences."""
MAX_READY_SUBTASKS = 1_000
"""How many subtasks of one job a plan looks at; a gang counts whole."""


class ScanPositions:
    """Where the search for a job's ready subtasks goes on in the next plan, if one cut it short."""

    def __init__(self) -> None:
        self._next_units: dict[str, int] = {}

    def of(self, job: Job) -> int:
        """Return the unit of a job at which to begin, see `JobProgress`."""
        return self._next_units.get(job.id, 0)

    def go_on_at(self, job: Job, unit: int) -> None:
        """Begin with this unit in the next plan."""
        self._next_units[job.id] = unit

    def begin_at_first(self, job: Job) -> None:
        """Begin with the first unit in the next plan."""
        self._next_units.pop(job.id, None)

    def keep_only(self, jobs: Collection[str]) -> None:
        """Forget the jobs that are not among these."""
        self._next_units = {id: unit for id, unit in self._next_units.items() if id in jobs}


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
    positions: ScanPositions = field(default_factory=ScanPositions)

    def ready_subtasks(self, job: Job) -> Iterator[ReadySubtasks]:
        """Return the subtasks of a job that may start now, by step and occurrence.

        One plan looks at `MAX_READY_STEPS` steps and about `MAX_READY_SUBTASKS` subtasks of a job
        at most; the next one goes on with the others.
        """
        progress = self.ledger.progress_of(job)
        steps_left, subtasks_left = MAX_READY_STEPS, MAX_READY_SUBTASKS
        due = self._due_occurrences(job)
        for unit, occurrence, number in progress.startable_steps(self.positions.of(job), due):
            if not steps_left or subtasks_left <= 0:
                self.positions.go_on_at(job, unit)
                return
            steps_left -= 1
            step = job.spec.steps[number]
            waiting = progress.count_waiting(unit)
            if step.is_gang and waiting < step.count:
                continue
            limit = waiting if step.is_gang else subtasks_left
            names = self._waiting_names(job, progress.waiting(unit), limit)
            subtasks_left -= len(names)
            if names and (not step.is_gang or len(names) == step.count):
                yield from self._ready_of_step(job, occurrence, number, names)
        self.positions.begin_at_first(job)

    def _due_occurrences(self, job: Job) -> int:
        """Return how many occurrences of a job are due."""
        spec = job.spec
        if not spec.repeat_count:
            return 1
        if spec.due_ms(0) > self.now_ms:
            return 0
        if not spec.interval_ms:
            return spec.occurrences
        passed = (self.now_ms - spec.start_at_ms) // spec.interval_ms + 1
        return min(spec.occurrences, passed)

    def _waiting_names(self, job: Job, waiting: Iterator[str], limit: int) -> tuple[str, ...]:
        """Return up to `limit` subtasks of a step that wait, without those that crashed workers.

        Held ones are not counted, so that the others get their turn.
        """
        if not job.crashes and not self.held:
            return tuple(islice(waiting, limit))
        names: list[str] = []
        counted = 0
        for name in waiting:
            if job.crashes and self._may_not_start(job, name):
                continue
            names.append(name)
            counted += (job.id, name) not in self.held
            if counted >= limit:
                break
        return tuple(names)

    def _may_not_start(self, job: Job, name: str) -> bool:
        return self.suspects.is_guilty(job, name) or self.suspects.is_paused(job, name)

    def _ready_of_step(
        self, job: Job, occurrence: int, number: int, names: tuple[str, ...]
    ) -> Iterator[ReadySubtasks]:
        waited = self.timing.waited_ms(job, occurrence, self.now_ms)
        is_guaranteed = self.ranks[job.id] == GUARANTEED_RANK
        ready = ReadySubtasks(
            job,
            f"{occurrence}.{number}",
            job.spec.steps[number],
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
        others = _without(ready.names, held)
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
        others = _without(ready.names, suspects)
        if others:
            yield replace(ready, names=others)
        yield replace(ready, names=suspects, trial_wait_ms=self.now_ms - since_ms)


def _without(names: tuple[str, ...], others: tuple[str, ...]) -> tuple[str, ...]:
    excluded = set(others)
    return tuple(name for name in names if name not in excluded)
