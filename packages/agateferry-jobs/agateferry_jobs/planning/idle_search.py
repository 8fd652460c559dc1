"""Find the jobs that one plan leaves idle by choice, and the room there is for them."""

from collections.abc import Callable

from agateferry_jobs.ledger import Job, Ledger
from agateferry_jobs.planning.candidates import CandidateKey, CandidateWorkers
from agateferry_jobs.planning.idle_jobs import (
    ROOM_FACTOR,
    IdleJob,
    IdleTimes,
    needed_room,
    room_for,
)
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.worker_selection import WorkerSelector


class IdleSearch:
    """Tell which waiting subtasks of one plan are idle by choice.

    `all_candidates` returns the workers that may run subtasks, whatever their pace.
    """

    def __init__(
        self,
        ledger: Ledger,
        times: IdleTimes,
        all_candidates: Callable[[ReadySubtasks], CandidateWorkers],
    ) -> None:
        self._ledger = ledger
        self._times = times
        self._all_candidates = all_candidates
        self._rooms: dict[CandidateKey, int] = {}
        self._started: set[str] = set()

    def record_start(self, job: Job) -> None:
        """Record that subtasks of a job start in this plan, so that it is not idle."""
        self._started.add(job.id)

    def find(self, ready: ReadySubtasks, selector: WorkerSelector) -> IdleJob | None:
        """Return how subtasks are idle by choice, or None if they are not."""
        has_started = ready.job.id in self._started and not ready.step.is_long_running
        if has_started or not ready.may_wait_by_choice:
            return None
        has_runs = self._ledger.progress_of(ready.job).has_runs
        if not self._times.may_count(ready, selector.candidates.service, has_runs):
            return None
        room, needed = self._room_for(ready, selector.candidates), needed_room(ready)
        if room < ROOM_FACTOR * needed:
            return None
        return IdleJob(self._times.record(ready), room, needed, selector.choices())

    def _room_for(self, ready: ReadySubtasks, candidates: CandidateWorkers) -> int:
        """Return how many subtasks fit if nothing is kept for a better use.

        It is counted once in a plan for each shape, so that it may be too large later on.
        """
        if candidates.has_pace_limit:
            candidates = self._all_candidates(ready)
        if ready.step.max_per_worker:
            return room_for(ready, candidates.usable)
        room = self._rooms.get(candidates.key)
        if room is None:
            room = self._rooms[candidates.key] = room_for(ready, candidates.usable)
        return room
