"""Jobs that are left idle by choice although there is room for them, and for how long."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import StrEnum

from agateferry_jobs.planning.fleet import Fleet
from agateferry_jobs.planning.free_capacity import FreeCapacity
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.worker_allocation import WorkerAllocation

MAX_IDLE_BY_CHOICE_MS = 2_000
"""How long a job is left idle by choice, over all choices together.

The platform counts a job as lost that could run and stays idle for 3 s; a second is left for the
plan, the order, and what the leader learns late.
"""
ROOM_FACTOR = 1.5
"""How many times over a job must fit before it counts as idle by choice.

The platform asks for twice; it may see room that the leader does not. A job that just fits may wait
for a better place.
"""


class WaitChoice(StrEnum):
    """A better use of the room for which subtasks that fit somewhere may be left waiting.

    `WaitReason` is what one plan found; a choice may be behind several of its values.
    """

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
    """A job that a plan left idle although it fits.

    `idle_ms` is for how long it has been so. `room` is how many subtasks of the step that waits
    would fit if nothing were kept for a better use, and `needed` is how many it takes.
    """

    idle_ms: int
    room: int
    needed: int
    choices: tuple[WaitChoice, ...]


class IdleTimes:
    """For how long jobs have been left idle although they fit, from one plan to the next.

    A leader keeps one and a new leader begins anew, since the clocks of two hosts may differ. With
    `counts_from_acceptance` jobs count as idle since they were accepted, for plans made alone.
    """

    def __init__(self, counts_from_acceptance: bool = False) -> None:
        self._counts_from_acceptance = counts_from_acceptance
        self._free_capacity = FreeCapacity()
        self._since_ms: dict[tuple[str, str], int] = {}
        self._seen_ms: dict[tuple[str, str], int] = {}
        self._now_ms = 0

    def begin_plan(self, fleet: Fleet, now_ms: int) -> None:
        """Begin a plan; a job that it does not find idle again is not idle any more."""
        self._free_capacity.observe(fleet)
        self._now_ms = now_ms
        self._since_ms, self._seen_ms = self._seen_ms, {}

    def carry_over(self, jobs: Collection[str]) -> None:
        """Keep the times of jobs that the plan did not reach."""
        for key, since_ms in self._since_ms.items():
            if key[0] in jobs:
                self._seen_ms.setdefault(key, since_ms)

    def may_count(self, ready: ReadySubtasks, service: str, has_runs: bool) -> bool:
        """Return whether a wait counts as idle time, provided that there is room.

        `has_runs` tells whether the job has active runs of subtasks that are not done.

        It does while nothing of the job runs and most of the service's capacity is free. Of a
        long-running step each subtask counts for itself, however full the service is.
        """
        if ready.step.is_long_running:
            return True
        return self._free_capacity.is_mostly_free(service) and not has_runs

    def record(self, ready: ReadySubtasks) -> int:
        """Record that the plan finds subtasks idle; return for how many ms they have been so."""
        key = (ready.job.id, ready.gang)
        since_ms = self._since_ms.get(key, self._now_ms)
        if self._counts_from_acceptance:
            since_ms = ready.job.accepted_ms
        self._seen_ms[key] = since_ms
        return max(0, self._now_ms - since_ms)


def needed_room(ready: ReadySubtasks) -> int:
    """Return how many subtasks must fit for a start: all of a gang, or one."""
    return len(ready.names) if ready.step.is_gang else 1


def room_for(ready: ReadySubtasks, workers: Iterable[WorkerAllocation]) -> int:
    """Return how many subtasks of a step fit on workers if nothing is kept for a better use."""
    return sum(
        min(
            worker.max_subtasks(ready.step, worker.free_for_idle_jobs, ready.job, ready.gang),
            max(0, worker.free_slots),
        )
        for worker in workers
    )
