"""How much one plan may do, so that it doesn't hold up what else its process has to do."""

import sys
from collections.abc import Callable, Generator, Sequence
from dataclasses import dataclass
from typing import TypeVar

ResultT = TypeVar("ResultT")
Steps = Generator[None, None, ResultT]
"""Work that is done step by step and returns its result; other work may run after each step."""

MAX_STARTS = 128
"""How many runs one plan starts, but for the last gang; each start takes time to order."""
MAX_STARTS_PER_JOB = 64
"""How many of them are of one job, as long as there is room for all that waits and others wait."""
MAX_PHASE_MS = 250
"""How long a plan looks for subtasks that may start, and then for workers for them.

Urgent jobs are looked at all the same. A plan that looks at a part of what waits can't tell whether
capacity is scarce, and then preempts more.
"""


def _no_time() -> int:
    return 0


@dataclass(frozen=True, slots=True)
class PlanLimits:
    """The limits of one plan; by default there are none.

    `spent_ms` returns for how long the plan has been worked on, without other work in between.
    `unreached` are the ids of jobs that plans have left out for their limits for long, in their
    turn.
    """

    max_starts: int = sys.maxsize
    max_starts_per_job: int = sys.maxsize
    spent_ms: Callable[[], int] = _no_time
    unreached: Sequence[str] = ()


def run_all(steps: Steps[ResultT]) -> ResultT:
    """Do all steps at once and return their result."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: ResultT = stop.value
            return result
