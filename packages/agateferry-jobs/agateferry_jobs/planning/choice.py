"""Which workers a step's subtasks go to."""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.planning.fleet import AllocatedRun, WorkerAllocation
from agateferry_jobs.planning.preemption_cost import CapacityCost
from agateferry_jobs.planning.ranks import BORROWED_RANK, LOWEST_RANK, RESERVED_RANK

if TYPE_CHECKING:
    from agateferry_jobs.planning.planner import ReadySubtasks

FAR_PATIENCE = 2.0
"""A subtask that is three times as slow away from its data waits up to twice its own length."""
ALOOF_SHARE = 0.2
"""The least urgent work uses any room once it has waited for this share of its slack."""
HEADROOM_SHARE = 0.12
"""The share of workers that the least urgent work leaves empty for gangs that come."""
RESERVED_PATIENCE_MS = 1_800
"""What promised work waits for its rack: the platform owes its start 2.9 s after the hand-in at the
earliest, and a stop that makes room elsewhere takes up to 0.9 s of that."""

Room = list[tuple[WorkerAllocation, list[AllocatedRun]]]


class Chooser:
    """Choose among the workers of one service for the subtasks of one wave."""

    def __init__(
        self, workers: Sequence[WorkerAllocation], ready: ReadySubtasks, ranks: Mapping[str, int]
    ) -> None:
        self._ready = ready
        self._step = ready.step
        self._able = [s for s in workers if s.is_staying and s.can_hold(ready.step)]
        self._workers = [s for s in self._able if s.takes_work]
        self._ranks = ranks
        self._is_patient = ready.waited_ms < self._patience_ms()

    def _patience_ms(self) -> float:
        """Return how long the wave may wait for its rack before it starts away from it.

        A gang across racks takes the room of three, so it waits for as long as it can reach
        anything, unless its start is promised.
        """
        ready = self._ready
        patience_ms = FAR_PATIENCE * ready.length_ms
        if ready.step.is_gang:
            patience_ms = ready.hopeless_after_ms
        if ready.rank == RESERVED_RANK:
            patience_ms = min(patience_ms, RESERVED_PATIENCE_MS)
        return patience_ms

    def single(self) -> WorkerAllocation | None:
        """Return the worker for one subtask, or None where it should wait."""
        fitting = [s for s in self._open_workers() if s.has_room(self._step)]
        fitting = [s for s in fitting if self._is_below_limit(s)]
        near = [s for s in fitting if self._is_near(s)]
        if not near and self._is_patient and any(self._is_near(s) for s in self._able):
            return None
        return min(near or fitting, key=self._cost, default=None)

    def _open_workers(self) -> list[WorkerAllocation]:
        """Return the workers that this wave may use.

        Gangs ask for whole workers at any moment, and each small run that stands on one is thrown
        away. So the least urgent work stays on workers of its own and leaves some empty, until it
        has waited for a part of its slack.
        """
        is_least_urgent = self._ready.rank > BORROWED_RANK + 1
        if not is_least_urgent or self._ready.waited_share > ALOOF_SHARE:
            return self._workers
        empty = [s for s in self._workers if not s.runs]
        kept = math.ceil(len(self._workers) * HEADROOM_SHARE)
        own = [s for s in self._workers if s.runs and all(map(self._is_peer, s.runs))]
        return own + empty if len(empty) > kept else own

    def _is_peer(self, allocated_run: AllocatedRun) -> bool:
        return self._ranks.get(allocated_run.job.id, LOWEST_RANK) >= self._ready.rank

    def whole(self) -> tuple[WorkerAllocation, ...] | None:
        """Return a worker for each member of the gang, or None where it should wait."""
        count = len(self._ready.names)
        groups = self._groups(self._workers)
        found = [workers for group in groups if (workers := self._fill(group, count)) is not None]
        if found:
            return min(found, key=lambda workers: sum(self._cost(s)[1] for s in set_of(workers)))
        racks = self._groups(self._able)
        is_rack_possible = any(self._could_ever_hold(rack, count) for rack in racks)
        if self._step.same_rack and (not self._is_patient or not is_rack_possible):
            return self._fill(self._workers, count)
        return None

    def room_for(self, count: int, cost: CapacityCost) -> Room:
        """Return the workers that hold `count` more subtasks at the least cost.

        Each place comes with the runs that must have ended before. Returns nothing where the runs
        that the cost counts do not hold enough room.
        """
        best: tuple[float, Room] | None = None
        groups = self._groups(self._workers)
        if not self._is_patient:
            groups = [*groups, self._workers]
        for group in groups:
            room = self._room_in(group, count, cost)
            if room is None:
                continue
            sum_of_costs = sum(cost.total(runs) for _, runs in room)
            if best is None or sum_of_costs < best[0]:
                best = (sum_of_costs, room)
        return best[1] if best is not None else []

    def _groups(self, workers: list[WorkerAllocation]) -> list[list[WorkerAllocation]]:
        """Return the sets of workers that one gang may use: the racks, or all."""
        if not (self._step.same_rack and self._step.is_gang):
            return [workers]
        racks: dict[str, list[WorkerAllocation]] = defaultdict(list)
        for worker in workers:
            racks[worker.incarnation.rack].append(worker)
        return list(racks.values())

    def _fill(
        self, group: Sequence[WorkerAllocation], count: int
    ) -> tuple[WorkerAllocation, ...] | None:
        """Return a worker for each of `count` subtasks within a group, fullest workers first."""
        chosen: list[WorkerAllocation] = []
        for worker in sorted(group, key=self._cost):
            places = min(self._places(worker, worker.free), worker.free_slots)
            chosen += [worker] * min(places, count - len(chosen))
        return tuple(chosen) if len(chosen) == count else None

    def _could_ever_hold(self, group: Sequence[WorkerAllocation], count: int) -> bool:
        return (
            sum(min(self._places(s, s.incarnation.capacity), s.incarnation.slots) for s in group)
            >= count
        )

    def _places(self, worker: WorkerAllocation, room: Resources) -> int:
        """Return how many subtasks fit into `room` on a worker."""
        need = self._step.need
        pairs = ((room.cpu, need.cpu), (room.mem_mb, need.mem_mb), (room.gpu, need.gpu))
        places = min(
            (have // want for have, want in pairs if want > 0), default=worker.incarnation.slots
        )
        if self._step.max_per_worker:
            there = worker.count_of(self._ready.job, self._ready.gang)
            places = min(places, self._step.max_per_worker - there)
        return max(0, places)

    def _room_in(
        self, group: Sequence[WorkerAllocation], count: int, cost: CapacityCost
    ) -> Room | None:
        """Return the cheapest room; on one worker a later place rests on the runs before it."""
        heap: list[tuple[float, int, Room]] = []

        def push(number: int, places: Room) -> None:
            if places:
                heapq.heappush(heap, (cost.total(places[0][1]), number, places))

        for number, worker in enumerate(group):
            push(number, self._room_on(worker, count, cost))
        room: Room = []
        while heap and len(room) < count:
            _, number, places = heapq.heappop(heap)
            room.append(places[0])
            push(number, places[1:])
        return room if len(room) == count else None

    def _room_on(self, worker: WorkerAllocation, count: int, cost: CapacityCost) -> Room:
        """Return up to `count` places here, each with the runs that must have ended before."""
        rank = self._ready.rank
        holders = [o for o in worker.runs if not o.is_stopping and cost.counts(o, rank)]
        holders.sort(key=cost.of)
        free_after_stops = worker.free_after_stops
        room: Room = []
        slots = worker.free_slots + sum(1 for o in worker.runs if o.is_stopping)
        ended: list[AllocatedRun] = []
        limit = min(count, self._places(worker, worker.incarnation.capacity))
        while len(room) < limit:
            if slots > 0 and self._step.need.fits(free_after_stops):
                room.append((worker, ended))
                free_after_stops, slots, ended = (
                    free_after_stops.minus(self._step.need),
                    slots - 1,
                    [],
                )
            elif holders:
                holder = holders.pop(0)
                ended = [*ended, holder]
                free_after_stops, slots = free_after_stops.plus(holder.step.need), slots + 1
            else:
                break
        return room

    def _is_below_limit(self, worker: WorkerAllocation) -> bool:
        limit = self._step.max_per_worker
        return not limit or worker.count_of(self._ready.job, self._ready.gang) < limit

    def _is_near(self, worker: WorkerAllocation) -> bool:
        return not self._step.data_rack or worker.incarnation.rack == self._step.data_rack

    def _cost(self, worker: WorkerAllocation) -> tuple[bool, int, int]:
        """Order workers: sound ones first, then those that are left with the least room."""
        return (worker.health.is_suspect, worker.free.gpu, worker.free.cpu)


def set_of(workers: Sequence[WorkerAllocation]) -> list[WorkerAllocation]:
    """Return each worker once."""
    return list({worker.incarnation.id: worker for worker in workers}.values())
