"""Select the workers that a step's ready subtasks go to."""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.planning.fleet import AllocatedRun, WorkerAllocation
from agateferry_jobs.planning.options import PolicyOptions
from agateferry_jobs.planning.preemption_cost import CapacityCost
from agateferry_jobs.planning.ranks import BORROWED_RANK, GUARANTEED_RANK, LOWEST_RANK

if TYPE_CHECKING:
    from agateferry_jobs.planning.planner import ReadySubtasks

DATA_RACK_WAIT_FACTOR = 2.0
"""A subtask waits for its data's rack for up to this many times its expected duration.

On another rack it takes three times as long, so it may wait for twice its duration.
"""
GUARANTEED_RACK_WAIT_MS = 1_800
"""How long work within its team's guarantee waits at most for a rack.

The platform requires its start 2.9 s after submission at the earliest, and a preemption on another
rack takes up to 0.9 s of that.
"""

FuturePlacements = list[tuple[WorkerAllocation, list[AllocatedRun]]]
"""Workers for subtasks, each with the runs that must end before the subtask fits there."""


class WorkerSelector:
    """Select among the workers of one service for the ready subtasks of one step."""

    def __init__(
        self,
        workers: Sequence[WorkerAllocation],
        ready: ReadySubtasks,
        ranks: Mapping[str, int],
        options: PolicyOptions,
    ) -> None:
        self._ready = ready
        self._options = options
        self._step = ready.step
        self._feasible_workers = [
            worker for worker in workers if worker.is_ready and worker.can_ever_run(ready.step)
        ]
        self._usable_workers = [worker for worker in self._feasible_workers if worker.accepts_runs]
        self._ranks = ranks
        self._waits_for_rack = ready.waited_ms < self._max_rack_wait_ms()

    def _max_rack_wait_ms(self) -> float:
        """Return how long the subtasks wait for a rack before they may start outside it.

        A gang that spans racks takes three times as long and holds its workers all that time. So it
        waits for one rack until its job is hopeless, unless it is within its team's guarantee.
        """
        ready = self._ready
        is_waiting = self._options.waits_for_data_rack
        max_wait_ms = DATA_RACK_WAIT_FACTOR * ready.expected_duration_ms
        if ready.step.is_gang:
            is_waiting = self._options.waits_for_rack
            max_wait_ms = ready.hopeless_after_ms
        if not is_waiting:
            return 0.0
        if ready.rank == GUARANTEED_RANK:
            max_wait_ms = min(max_wait_ms, GUARANTEED_RACK_WAIT_MS)
        return max_wait_ms

    def select_for_subtask(self) -> WorkerAllocation | None:
        """Return the worker for one subtask, or None if it should wait."""
        fitting = [worker for worker in self._eligible_workers() if worker.fits_now(self._step)]
        fitting = [worker for worker in fitting if self._is_below_worker_limit(worker)]
        in_data_rack = [worker for worker in fitting if self._is_in_data_rack(worker)]
        if (
            not in_data_rack
            and self._waits_for_rack
            and any(self._is_in_data_rack(worker) for worker in self._feasible_workers)
        ):
            return None
        return min(in_data_rack or fitting, key=self._sort_key, default=None)

    def _eligible_workers(self) -> list[WorkerAllocation]:
        """Return the workers that these subtasks may use.

        Gangs need whole workers at any time, and every small run on such a worker is then
        preempted. So the least urgent work shares workers only with its peers and leaves some
        workers empty, until it has waited for a part of its slack.
        """
        is_least_urgent = self._ready.rank > BORROWED_RANK + 1
        if (
            not is_least_urgent
            or self._ready.waited_slack_share > self._options.share_workers_after
        ):
            return self._usable_workers
        empty = [worker for worker in self._usable_workers if not worker.runs]
        headroom = math.ceil(len(self._usable_workers) * self._options.headroom_share)
        peers_only = [
            worker
            for worker in self._usable_workers
            if worker.runs and all(map(self._is_peer, worker.runs))
        ]
        return peers_only + empty if len(empty) > headroom else peers_only

    def _is_peer(self, allocated_run: AllocatedRun) -> bool:
        return self._ranks.get(allocated_run.job.id, LOWEST_RANK) >= self._ready.rank

    def select_for_gang(self) -> tuple[WorkerAllocation, ...] | None:
        """Return a worker for each member of the gang, or None if it should wait."""
        count = len(self._ready.names)
        groups = self._groups(self._usable_workers)
        found = [workers for group in groups if (workers := self._pack(group, count)) is not None]
        if found:
            return min(
                found,
                key=lambda workers: sum(self._sort_key(worker)[1] for worker in distinct(workers)),
            )
        racks = self._groups(self._feasible_workers)
        is_rack_possible = any(self._fits_when_empty(rack, count) for rack in racks)
        if self._step.same_rack and (not self._waits_for_rack or not is_rack_possible):
            return self._pack(self._usable_workers, count)
        return None

    def future_placements(self, count: int, cost: CapacityCost) -> FuturePlacements:
        """Return the cheapest `count` placements that become possible once some runs have ended.

        Returns nothing if the runs that `cost` admits do not free enough resources.
        """
        best: tuple[float, FuturePlacements] | None = None
        groups = self._groups(self._usable_workers)
        if not self._waits_for_rack:
            groups = [*groups, self._usable_workers]
        for group in groups:
            placements = self._cheapest_in(group, count, cost)
            if placements is None:
                continue
            total_cost = sum(cost.of_runs(runs) for _, runs in placements)
            if best is None or total_cost < best[0]:
                best = (total_cost, placements)
        return best[1] if best is not None else []

    def _groups(self, workers: list[WorkerAllocation]) -> list[list[WorkerAllocation]]:
        """Return the sets of workers that may hold one gang: each rack, or all of them together."""
        if not (self._step.same_rack and self._step.is_gang):
            return [workers]
        racks: dict[str, list[WorkerAllocation]] = defaultdict(list)
        for worker in workers:
            racks[worker.incarnation.rack].append(worker)
        return list(racks.values())

    def _pack(
        self, group: Sequence[WorkerAllocation], count: int
    ) -> tuple[WorkerAllocation, ...] | None:
        """Return a worker of a group for each of `count` subtasks, the fullest workers first."""
        chosen: list[WorkerAllocation] = []
        for worker in sorted(group, key=self._sort_key):
            fitting = min(self._max_subtasks(worker, worker.free), worker.free_slots)
            chosen += [worker] * min(fitting, count - len(chosen))
        return tuple(chosen) if len(chosen) == count else None

    def _fits_when_empty(self, group: Sequence[WorkerAllocation], count: int) -> bool:
        return (
            sum(
                min(
                    self._max_subtasks(worker, worker.incarnation.capacity),
                    worker.incarnation.slots,
                )
                for worker in group
            )
            >= count
        )

    def _max_subtasks(self, worker: WorkerAllocation, available: Resources) -> int:
        """Return how many subtasks fit into these resources of a worker."""
        need = self._step.need
        pairs = (
            (available.cpu, need.cpu),
            (available.mem_mb, need.mem_mb),
            (available.gpu, need.gpu),
        )
        fitting = min(
            (have // want for have, want in pairs if want > 0), default=worker.incarnation.slots
        )
        if self._step.max_per_worker:
            already_placed = worker.count_subtasks(self._ready.job, self._ready.gang)
            fitting = min(fitting, self._step.max_per_worker - already_placed)
        return max(0, fitting)

    def _cheapest_in(
        self, group: Sequence[WorkerAllocation], count: int, cost: CapacityCost
    ) -> FuturePlacements | None:
        """Return the cheapest placements in a group, or None if there are fewer than `count`.

        The placements on one worker are taken in their order, since each one counts on the ends
        that those before it wait for.
        """
        heap: list[tuple[float, int, FuturePlacements]] = []

        def push(number: int, remaining: FuturePlacements) -> None:
            if remaining:
                heapq.heappush(heap, (cost.of_runs(remaining[0][1]), number, remaining))

        for number, worker in enumerate(group):
            push(number, self._placements_on(worker, count, cost))
        placements: FuturePlacements = []
        while heap and len(placements) < count:
            _, number, remaining = heapq.heappop(heap)
            placements.append(remaining[0])
            push(number, remaining[1:])
        return placements if len(placements) == count else None

    def _placements_on(
        self, worker: WorkerAllocation, count: int, cost: CapacityCost
    ) -> FuturePlacements:
        """Return up to `count` placements here, each with the further runs that must end for it."""
        rank = self._ready.rank
        candidates = [
            run for run in worker.runs if not run.is_stopping and cost.is_candidate(run, rank)
        ]
        candidates.sort(key=cost.of_run)
        free_after_stops = worker.free_after_stops
        placements: FuturePlacements = []
        slots = worker.free_slots + sum(1 for run in worker.runs if run.is_stopping)
        ended: list[AllocatedRun] = []
        limit = min(count, self._max_subtasks(worker, worker.incarnation.capacity))
        while len(placements) < limit:
            if slots > 0 and self._step.need.fits(free_after_stops):
                placements.append((worker, ended))
                free_after_stops, slots, ended = (
                    free_after_stops.minus(self._step.need),
                    slots - 1,
                    [],
                )
            elif candidates:
                candidate = candidates.pop(0)
                ended = [*ended, candidate]
                free_after_stops, slots = free_after_stops.plus(candidate.step.need), slots + 1
            else:
                break
        return placements

    def _is_below_worker_limit(self, worker: WorkerAllocation) -> bool:
        limit = self._step.max_per_worker
        return not limit or worker.count_subtasks(self._ready.job, self._ready.gang) < limit

    def _is_in_data_rack(self, worker: WorkerAllocation) -> bool:
        return not self._step.data_rack or worker.incarnation.rack == self._step.data_rack

    def _sort_key(self, worker: WorkerAllocation) -> tuple[bool, int, int]:
        """Return the sort key of workers: not suspect first, then by what is free."""
        return (worker.health.is_suspect, worker.free.gpu, worker.free.cpu)


def distinct(workers: Sequence[WorkerAllocation]) -> list[WorkerAllocation]:
    """Return each worker once."""
    return list({worker.incarnation.id: worker for worker in workers}.values())
