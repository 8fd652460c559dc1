"""Find the cheapest resources that become free once some runs have ended."""

import heapq
from collections.abc import Sequence

from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.planning.preemption_cost import CapacityCost
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.worker_allocation import AllocatedRun, WorkerAllocation

FuturePlacements = list[tuple[WorkerAllocation, list[AllocatedRun]]]
"""Workers for subtasks, each with the runs that must end before the subtask fits there."""
WorkerPlacements = list[tuple[float, list[AllocatedRun]]]
"""The placements on one worker in their order: what each costs and which runs must end for it.

Each one counts on the ends that those before it wait for.
"""
MAX_PLACEMENTS = 1_000
"""How many subtasks one worker is planned for at most, whatever slots it reports."""


class FutureCapacity:
    """Find future placements at the least cost; one instance serves one plan and one cost.

    The placements on a worker are kept until something on that worker changes.
    """

    def __init__(self, cost: CapacityCost) -> None:
        self._cost = cost
        self._kept_placements: dict[tuple[str, Resources, int], tuple[int, WorkerPlacements]] = {}
        self._kept_runs: dict[tuple[str, int], tuple[int, list[AllocatedRun]]] = {}

    def cheapest(
        self, groups: Sequence[Sequence[WorkerAllocation]], ready: ReadySubtasks, count: int
    ) -> FuturePlacements:
        """Return the cheapest `count` placements that lie in one of the groups.

        Returns nothing if the runs that the cost admits do not free enough resources in any group.
        """
        best: tuple[float, FuturePlacements] | None = None
        for group in groups:
            found = self._cheapest_in(group, ready, count)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        return best[1] if best is not None else []

    def _cheapest_in(
        self, group: Sequence[WorkerAllocation], ready: ReadySubtasks, count: int
    ) -> tuple[float, FuturePlacements] | None:
        """Return the cheapest placements in a group and their cost; None if there are too few."""
        by_worker = [self._placements_on(worker, ready) for worker in group]
        if sum(map(len, by_worker)) < count:
            return None
        heap = [(placed[0][0], number, 0) for number, placed in enumerate(by_worker) if placed]
        heapq.heapify(heap)
        total_cost = 0.0
        placements: FuturePlacements = []
        while len(placements) < count:
            cost, number, position = heapq.heappop(heap)
            total_cost += cost
            placements.append((group[number], by_worker[number][position][1]))
            position += 1
            if position < len(by_worker[number]):
                heapq.heappush(heap, (by_worker[number][position][0], number, position))
        return total_cost, placements

    def _placements_on(self, worker: WorkerAllocation, ready: ReadySubtasks) -> WorkerPlacements:
        if ready.step.max_per_worker:
            return self._find_placements_on(worker, ready)
        key = (worker.incarnation.id, ready.step.need, ready.rank)
        kept = self._kept_placements.get(key)
        if kept is not None and kept[0] == worker.version:
            return kept[1]
        placements = self._find_placements_on(worker, ready)
        self._kept_placements[key] = (worker.version, placements)
        return placements

    def _ending_runs(self, worker: WorkerAllocation, rank: int) -> list[AllocatedRun]:
        """Return the runs whose ends the cost admits, the cheapest first."""
        key = (worker.incarnation.id, rank)
        kept = self._kept_runs.get(key)
        if kept is not None and kept[0] == worker.version:
            return kept[1]
        runs = [
            run for run in worker.runs if not run.is_stopping and self._cost.is_candidate(run, rank)
        ]
        runs.sort(key=self._cost.of_run)
        self._kept_runs[key] = (worker.version, runs)
        return runs

    def _find_placements_on(
        self, worker: WorkerAllocation, ready: ReadySubtasks
    ) -> WorkerPlacements:
        cost, need = self._cost, ready.step.need
        remaining = iter(self._ending_runs(worker, ready.rank))
        free, slots = worker.free_after_stops, worker.slots_after_stops
        limit = worker.max_subtasks(ready.step, worker.incarnation.capacity, ready.job, ready.gang)
        limit = min(limit, MAX_PLACEMENTS)
        placements: WorkerPlacements = []
        ended: list[AllocatedRun] = []
        while len(placements) < limit:
            if slots > 0 and need.fits(free):
                placements.append((cost.of_runs(ended), ended))
                free, slots, ended = free.minus(need), slots - 1, []
                continue
            run = next(remaining, None)
            if run is None:
                break
            ended = [*ended, run]
            free, slots = free.plus(run.step.need), slots + 1
        return placements
