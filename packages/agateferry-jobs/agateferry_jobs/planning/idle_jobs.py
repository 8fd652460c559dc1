"""Jobs that have nothing running although they are due and most of the capacity is free."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.worker_allocation import WorkerAllocation

MAX_IDLE_BY_CHOICE_MS = 2_000
"""How long a job is left idle by choice while most of its service's capacity is free.

This is over all choices together. The platform counts a job as lost that could run and stays idle
for 3 s; a second is left for the plan, the order, and what the leader learns late.
"""


class WaitChoice(StrEnum):
    """Why subtasks may be left waiting although they would fit somewhere."""

    RACK = "rack"
    """A gang waits for one rack that holds it."""
    DATA_RACK = "data-rack"
    """A subtask waits for the rack that holds its data."""
    PACE = "pace"
    """Urgent work waits for workers that are fast enough."""
    TRIAL = "trial"
    """A suspect waits for a worker of its own, or others stay away from a suspect's worker."""
    HEADROOM = "headroom"
    """The least urgent work leaves some workers empty."""
    RESERVATION = "reservation"
    """Free resources are reserved for another job."""


@dataclass(frozen=True, slots=True)
class IdleJob:
    """A job that a plan left idle while most of its service's capacity was free.

    `idle_ms` is for how long both has been so. `room` is how many subtasks of the step that waits
    would fit if nothing were kept for a better use, and `needed` is how many it takes.
    """

    idle_ms: int
    room: int
    needed: int
    choices: tuple[WaitChoice, ...]

    @property
    def could_run(self) -> bool:
        """Return whether the job would fit if no choice kept it waiting."""
        return self.room >= self.needed


def room_for(ready: ReadySubtasks, workers: Iterable[WorkerAllocation]) -> int:
    """Return how many subtasks of a step fit on workers if nothing is kept for a better use."""
    return sum(
        min(
            worker.max_subtasks(ready.step, worker.unreserved, ready.job, ready.gang),
            max(0, worker.free_slots),
        )
        for worker in workers
    )
