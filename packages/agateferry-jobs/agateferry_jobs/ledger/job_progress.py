"""How far one job is, by step and subtask.

It is kept beside the job's record, so that nothing has to look at all of that. A job may have tens
of thousands of subtasks and steps, and what is asked in each plan and at each end of a run must not
take time that grows with them.
"""

from array import array
from collections import defaultdict
from collections.abc import Iterator, Sequence
from functools import cached_property
from itertools import accumulate
from operator import attrgetter, not_

from agateferry_jobs.ledger.specs import StepSpec, peak_gpus
from agateferry_jobs.ledger.state import Job, numbers_in

WAITING = 0
ACTIVE = 1
DONE = 2
"""The flags of a subtask; one that is done may still have an active run."""
STARTABLE = 1
"""The flag of a step of one occurrence that has waiting subtasks and no unfinished dependency."""


class JobProgress:
    """The progress of one job, derived from its record and updated with it.

    A step of one occurrence is a unit; units are numbered by occurrence, then by step.
    """

    def __init__(self, job: Job) -> None:
        self._steps = job.spec.steps
        occurrences = job.spec.occurrences
        counts = array("I", map(attrgetter("count"), self._steps))
        self._offsets = array("I", accumulate(counts, initial=0))
        """The position of each step's first subtask in an occurrence, then their number."""
        self._per_occurrence = self._offsets[-1]
        self._flags = bytearray(self._per_occurrence * occurrences)
        self._undone = counts * occurrences
        self._waiting = counts * occurrences
        self._dependents = _dependents_of(self._steps)
        self._blocked = array("I", map(_count_dependencies, self._steps)) * occurrences
        self._startable = bytearray(map(not_, self._blocked))
        self.undone = len(self._flags)
        """How many subtasks are not done."""
        begun = [
            (name, each) for name, each in job.subtasks.items() if each.last_run or each.is_done
        ]
        for name, subtask in begun:
            if subtask.active is not None:
                self.record_start(name)
            if subtask.is_done:
                self.record_done(name)

    @cached_property
    def peak_gpus(self) -> int:
        """Return an upper bound of the accelerators that the job needs at the same time."""
        return peak_gpus(self._steps)

    @cached_property
    def steps_by_duration(self) -> list[tuple[int, StepSpec]]:
        """The first step of each declared duration, with its number."""
        first: dict[int, tuple[int, StepSpec]] = {}
        for number, step in enumerate(self._steps):
            first.setdefault(step.estimated_ms, (number, step))
        return list(first.values())

    @cached_property
    def cores_by_duration(self) -> dict[int, float]:
        """The cores that all steps of a declared duration need, by the number of the first one."""
        number_of = {step.estimated_ms: number for number, step in self.steps_by_duration}
        cores: dict[int, float] = defaultdict(float)
        for step in self._steps:
            cores[number_of[step.estimated_ms]] += step.count * step.need.weighted_cores
        return cores

    def record_start(self, name: str) -> None:
        """Record that a subtask has an active run."""
        unit, position = self._find(name)
        if self._flags[position] == WAITING:
            self._take_waiting(unit)
        self._flags[position] |= ACTIVE

    def record_end(self, name: str) -> None:
        """Record that a subtask has no active run any more."""
        unit, position = self._find(name)
        if self._flags[position] == ACTIVE:
            self._waiting[unit] += 1
            self._startable[unit] = not self._blocked[unit]
        self._flags[position] &= ~ACTIVE

    def record_done(self, name: str) -> None:
        """Record that a subtask is done."""
        unit, position = self._find(name)
        if self._flags[position] & DONE:
            return
        if self._flags[position] == WAITING:
            self._take_waiting(unit)
        self._flags[position] |= DONE
        self.undone -= 1
        self._undone[unit] -= 1
        if not self._undone[unit]:
            self._unblock_dependents(unit)

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all subtasks of a step of one occurrence are done."""
        return not self._undone[occurrence * len(self._steps) + step]

    def undone_by_step(self, occurrence: int) -> Sequence[int]:
        """Return for each step of an occurrence how many subtasks are not done."""
        start = occurrence * len(self._steps)
        return self._undone[start : start + len(self._steps)]

    def first_unfinished_occurrence(self) -> int:
        """Return the first occurrence that has an unfinished step, or the last one."""
        steps = len(self._steps)
        last = len(self._undone) // steps - 1
        return next((unit // steps for unit, left in enumerate(self._undone) if left), last)

    @property
    def has_runs(self) -> bool:
        """Return whether a subtask that is not done has an active run."""
        return ACTIVE in self._flags

    def active_in(self, gang: str) -> int:
        """Return how many subtasks of `OCCURRENCE.STEP` have an active run."""
        start, end = self._span(self._unit_of(gang))
        return self._flags.count(ACTIVE, start, end) + self._flags.count(ACTIVE | DONE, start, end)

    def startable_steps(self, from_unit: int, occurrences: int) -> Iterator[tuple[int, int, int]]:
        """Return the steps that may start, as unit, occurrence and number.

        They are those of the first `occurrences`, in their order from a unit on, then the others.
        """
        steps = len(self._steps)
        end = occurrences * steps
        first = from_unit if from_unit < end else 0
        for start, stop in ((first, end), (0, first)):
            unit = self._startable.find(STARTABLE, start, stop)
            while unit >= 0:
                yield unit, unit // steps, unit % steps
                unit = self._startable.find(STARTABLE, unit + 1, stop)

    def count_waiting(self, unit: int) -> int:
        """Return how many subtasks of a unit have no active run and are not done."""
        return self._waiting[unit]

    def waiting(self, unit: int) -> Iterator[str]:
        """Return the names of the subtasks of a unit that wait, in their order."""
        start, end = self._span(unit)
        gang = f"{unit // len(self._steps)}.{unit % len(self._steps)}"
        if self._waiting[unit] == end - start:
            yield from [f"{gang}.{index}" for index in range(end - start)]
            return
        position = self._flags.find(WAITING, start, end)
        while position >= 0:
            yield f"{gang}.{position - start}"
            position = self._flags.find(WAITING, position + 1, end)

    def _take_waiting(self, unit: int) -> None:
        self._waiting[unit] -= 1
        if not self._waiting[unit]:
            self._startable[unit] = 0

    def _unblock_dependents(self, unit: int) -> None:
        occurrence, step = divmod(unit, len(self._steps))
        for dependent in self._dependents.get(step, ()):
            other = occurrence * len(self._steps) + dependent
            self._blocked[other] -= 1
            if not self._blocked[other]:
                self._startable[other] = self._waiting[other] > 0

    def _find(self, name: str) -> tuple[int, int]:
        """Return the unit of a subtask, and its position among all."""
        occurrence, step, index = numbers_in(name)
        position = occurrence * self._per_occurrence + self._offsets[step] + index
        return occurrence * len(self._steps) + step, position

    def _unit_of(self, gang: str) -> int:
        occurrence, step = numbers_in(gang)
        return occurrence * len(self._steps) + step

    def _span(self, unit: int) -> tuple[int, int]:
        occurrence, step = divmod(unit, len(self._steps))
        start = occurrence * self._per_occurrence + self._offsets[step]
        return start, start + self._steps[step].count


def _count_dependencies(step: StepSpec) -> int:
    return len(set(step.depends_on)) if step.depends_on else 0


def _dependents_of(steps: tuple[StepSpec, ...]) -> dict[int, list[int]]:
    """Return by step the numbers of those that depend on it."""
    dependents: dict[int, list[int]] = defaultdict(list)
    for number, step in enumerate(steps):
        for earlier in set(step.depends_on):
            dependents[earlier].append(number)
    return dependents
