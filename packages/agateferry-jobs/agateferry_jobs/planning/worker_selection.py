"""Select the workers that a step's ready subtasks go to."""

import math
from collections.abc import Mapping, Sequence
from functools import cached_property

from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.planning.candidates import CandidateWorkers
from agateferry_jobs.planning.failed_searches import SearchKey
from agateferry_jobs.planning.idle_jobs import WaitChoice
from agateferry_jobs.planning.options import PolicyOptions
from agateferry_jobs.planning.ranks import BORROWED_RANK, LOWEST_RANK
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.worker_allocation import NOTHING, AllocatedRun, WorkerAllocation

DATA_RACK_WAIT_FACTOR = 2.0
"""A subtask waits for its data's rack for up to this many times its expected duration.

On another rack it takes three times as long, so it may wait for twice its duration.
"""
KEPT_FOR_OTHERS_WEIGHT = 4
"""Sorts each worker that is kept for other jobs after all that are suspect or cold."""


class WorkerSelector:
    """Select among the candidate workers for the ready subtasks of one step.

    `trials` is how many workers are kept for suspected jobs.
    """

    def __init__(
        self,
        candidates: CandidateWorkers,
        ready: ReadySubtasks,
        ranks: Mapping[str, int],
        options: PolicyOptions,
        trials: int = 0,
    ) -> None:
        self._ready = ready
        self._options = options
        self._step = ready.step
        self.candidates = candidates
        self._ranks = ranks
        self._has_trials = trials > 0
        self._may_wait = ready.may_wait_by_choice
        self._waits_for_rack = self._may_wait and ready.waited_ms < self._max_rack_wait_ms()

    def _max_rack_wait_ms(self) -> float:
        """Return how long the subtasks wait for a rack before they may start outside it.

        A gang that spans racks takes three times as long and holds its workers all that time. So it
        waits for one rack until its job is hopeless, or until it may wait by choice no longer.
        """
        ready = self._ready
        if ready.step.is_gang:
            return ready.hopeless_after_ms if self._options.waits_for_rack else 0.0
        if not self._options.waits_for_data_rack:
            return 0.0
        return DATA_RACK_WAIT_FACTOR * ready.expected_duration_ms

    def subtask_key(self) -> SearchKey | None:
        """Return what `select_for_subtask` depends on; None where it depends on the job too."""
        if self._step.max_per_worker:
            return None
        peers = self._ready.rank if self._shares_only_with_peers else None
        waits = (self._may_wait, self._waits_for_rack)
        inputs = (self.candidates.key, self._step.data_rack, waits, peers)
        return SearchKey(inputs, is_final=peers is None)

    def gang_key(self) -> SearchKey | None:
        """Return what `select_for_gang` depends on; None where it depends on the job too."""
        if self._step.max_per_worker:
            return None
        count = len(self._ready.names)
        waits = (self._may_wait, self._waits_for_rack)
        inputs = (self.candidates.key, count, self._step.same_rack, waits)
        return SearchKey(inputs, is_final=True)

    def future_key(self, count: int, preempts: bool) -> SearchKey | None:
        """Return what a search for `count` future placements depends on, as the others do."""
        if self._step.max_per_worker:
            return None
        rank = self._ready.rank if preempts else None
        is_in_rack = self._step.same_rack and self._step.is_gang
        waits = (self._may_wait, self._waits_for_rack)
        inputs = (self.candidates.key, count, rank, is_in_rack, self._step.data_rack, waits)
        return SearchKey(inputs, is_final=False)

    def select_for_subtask(self) -> WorkerAllocation | None:
        """Return the worker for one subtask, or None if it should wait."""
        fitting = [worker for worker in self._eligible_workers() if self._fits(worker)]
        fitting = [worker for worker in fitting if self._is_below_worker_limit(worker)]
        in_data_rack = [worker for worker in fitting if self._is_in_data_rack(worker)]
        if not in_data_rack and self._waits_for_data:
            return None
        return min(in_data_rack or fitting, key=self._order, default=None)

    def is_best_again(self, worker: WorkerAllocation) -> bool:
        """Return whether a worker that was selected just now is the best for another subtask.

        It has less free than before, so it stays the first in order as long as the subtask fits.
        """
        return self._fits(worker) and self._is_below_worker_limit(worker)

    @cached_property
    def _waits_for_data(self) -> bool:
        """Return whether a subtask waits for workers in the rack of its data, as some may come."""
        if not self._step.data_rack or self._step.is_gang:
            return False
        may_wait = self._waits_for_rack or self.candidates.has_pace_limit
        return may_wait and any(map(self._is_in_data_rack, self.candidates.expected))

    def _eligible_workers(self) -> list[WorkerAllocation]:
        """Return the workers that these subtasks may use.

        Gangs need whole workers at any time, and every small run on such a worker is then
        preempted. So the least urgent work shares workers only with its peers and leaves some
        workers empty, until it has waited for a part of its slack.
        """
        usable = self._open(self.candidates.usable)
        if not self._shares_only_with_peers:
            return usable
        empty = [worker for worker in usable if not worker.runs]
        headroom = math.ceil(len(usable) * self._options.headroom_share)
        peers_only = [
            worker for worker in usable if worker.runs and all(map(self._is_peer, worker.runs))
        ]
        return peers_only + empty if len(empty) > headroom else peers_only

    def _open(self, workers: list[WorkerAllocation]) -> list[WorkerAllocation]:
        """Return the workers that are not kept for suspected jobs; all, for idle jobs."""
        if not self._has_trials or not self._may_wait:
            return workers
        return [worker for worker in workers if worker.is_open_to(self._ready.job)]

    @property
    def _shares_only_with_peers(self) -> bool:
        is_least_urgent = self._ready.rank > BORROWED_RANK + 1 and self._may_wait
        has_waited = self._ready.waited_slack_share > self._options.share_workers_after
        return is_least_urgent and not has_waited

    def _is_peer(self, allocated_run: AllocatedRun) -> bool:
        return self._ranks.get(allocated_run.job.id, LOWEST_RANK) >= self._ready.rank

    def select_for_gang(self) -> tuple[WorkerAllocation, ...] | None:
        """Return a worker for each member of the gang, or None if it should wait."""
        count = len(self._ready.names)
        groups = self._usable_groups()
        found = [workers for group in groups if (workers := self._pack(group, count)) is not None]
        if found:
            return min(
                found,
                key=lambda workers: (
                    sum(self._kept_for_others(worker) for worker in distinct(workers)),
                    sum(self._is_too_cold(worker) for worker in distinct(workers)),
                    max(map(self._pace_key, workers)),
                    sum(self._sort_key(worker)[1] for worker in distinct(workers)),
                ),
            )
        if self.candidates.has_pace_limit:
            return None
        if self._is_rack_gang and self._may_span_racks:
            return self._pack(self.candidates.usable, count)
        return None

    @cached_property
    def _may_span_racks(self) -> bool:
        """Return whether a gang that prefers one rack need not wait for one.

        It need not if no rack holds it with the workers that answer or may do so soon. Slower
        workers, which a pace limit leaves out, may be in its rack too.
        """
        if not self._waits_for_rack:
            return True
        if self.candidates.has_pace_limit:
            return False
        count = len(self._ready.names)
        racks = self.candidates.expected_racks
        return not any(self._fits_when_empty(rack, count) for rack in racks)

    def choices(self) -> tuple[WaitChoice, ...]:
        """Return the choices that may keep the subtasks waiting although they fit somewhere."""
        has_reservations = any(worker.yielding != NOTHING for worker in self.candidates.usable)
        active = {
            WaitChoice.RACK: self._is_rack_gang and self._waits_for_rack,
            WaitChoice.DATA_RACK: bool(self._step.data_rack) and self._waits_for_rack,
            WaitChoice.PACE: self.candidates.has_pace_limit,
            WaitChoice.TRIAL: self._has_trials,
            WaitChoice.HEADROOM: self._shares_only_with_peers and not self._step.is_gang,
            WaitChoice.RESERVATION: has_reservations,
        }
        return tuple(choice for choice, is_active in active.items() if is_active)

    def awaits_report(self) -> bool:
        """Return whether a subtask fits on a worker that has yet to report its capacity."""
        return any(worker.fits_now(self._step) for worker in self.candidates.awaited)

    def future_groups(self) -> list[list[WorkerAllocation]]:
        """Return the sets of workers of which one is to hold the subtasks later."""
        groups = self._usable_groups()
        if self._waits_for_data:
            groups = [list(filter(self._is_in_data_rack, self.candidates.usable))]
        if not self._waits_for_rack or (self._is_rack_gang and self._may_span_racks):
            groups = [*groups, self.candidates.usable]
        return [self._open(group) for group in groups]

    @property
    def _is_rack_gang(self) -> bool:
        return self._step.same_rack and self._step.is_gang

    def _usable_groups(self) -> list[list[WorkerAllocation]]:
        """Return the sets of workers that may hold one gang: each rack, or all of them together."""
        if self._is_rack_gang:
            return self.candidates.usable_racks
        return [self.candidates.usable]

    def _pack(
        self, group: list[WorkerAllocation], count: int
    ) -> tuple[WorkerAllocation, ...] | None:
        """Return a worker of a group for each of `count` subtasks, the fullest workers first."""
        chosen: list[WorkerAllocation] = []
        for worker in sorted(self._open(group), key=self._order):
            available = self._available(worker)
            fitting = min(self._max_subtasks(worker, available), worker.free_slots)
            chosen += [worker] * min(fitting, count - len(chosen))
        return tuple(chosen) if len(chosen) == count else None

    def _fits_when_empty(self, group: Sequence[WorkerAllocation], count: int) -> bool:
        return (
            sum(
                min(
                    self._max_subtasks(worker, worker.largest_capacity),
                    worker.incarnation.slots,
                )
                for worker in group
            )
            >= count
        )

    def _available(self, worker: WorkerAllocation) -> Resources:
        """Return what the subtasks may use now; idle jobs pass over reservations that yield."""
        return worker.free if self._may_wait else worker.free_for_idle_jobs

    def _fits(self, worker: WorkerAllocation) -> bool:
        return worker.free_slots > 0 and self._step.need.fits(self._available(worker))

    def _max_subtasks(self, worker: WorkerAllocation, available: Resources) -> int:
        return worker.max_subtasks(self._step, available, self._ready.job, self._ready.gang)

    def _is_below_worker_limit(self, worker: WorkerAllocation) -> bool:
        limit = self._step.max_per_worker
        return not limit or worker.count_subtasks(self._ready.job, self._ready.gang) < limit

    def _is_in_data_rack(self, worker: WorkerAllocation) -> bool:
        return not self._step.data_rack or worker.incarnation.rack == self._step.data_rack

    def _order(self, worker: WorkerAllocation) -> tuple[float, ...]:
        """Return the sort key of workers: `_sort_key` with the pace as its second element."""
        last_choice, *others = self._sort_key(worker)
        return (last_choice, self._pace_key(worker), *others)

    def _pace_key(self, worker: WorkerAllocation) -> float:
        """Return the sort key of workers by pace; 0 for all where paces are not known to differ."""
        return -worker.pace_class if self._ready.prefers_slow else worker.pace_class

    def _sort_key(self, worker: WorkerAllocation) -> tuple[float, ...]:
        """Return the sort key of workers: not suspect, warm for urgent work, then by what is free.

        The first element tells the two apart: a cold worker is better than a suspect one. Idle jobs
        may use workers that are kept for others, if there are no better ones.
        """
        last_choice = 2 * worker.health.is_suspect + self._is_too_cold(worker)
        last_choice += KEPT_FOR_OTHERS_WEIGHT * self._kept_for_others(worker)
        return (last_choice, worker.free.gpu, worker.free.cpu)

    def _kept_for_others(self, worker: WorkerAllocation) -> int:
        """Return 2 for a worker kept for a suspect, and 1 where something is reserved; else 0."""
        if self._may_wait:
            return 0
        return 2 * (not worker.is_open_to(self._ready.job)) + (worker.yielding != NOTHING)

    def _is_too_cold(self, worker: WorkerAllocation) -> bool:
        """Return whether a worker is cold and the work urgent."""
        return worker.health.is_cold and self._ready.rank <= BORROWED_RANK


def distinct(workers: Sequence[WorkerAllocation]) -> list[WorkerAllocation]:
    """Return each worker once."""
    return list({worker.incarnation.id: worker for worker in workers}.values())
