"""Carry moves out: hold the target, stop the work, and start it again there when it is queued."""

from math import sqrt

from agateferry_scheduling.placement.compaction import best_move
from agateferry_scheduling.preemption.victims import CHECKPOINT_COST_MS
from agateferry_scheduling.scheduler.finder import Finder
from agateferry_scheduling.scheduler.messages import Decision, PendingRequest, Preempt, Start
from agateferry_scheduling.scheduler.zone import ZoneState
from agateferry_scheduling.topology import Allocation, AllocationKind

BASE_GAP_MS = 4_000
BASE_REST_MS = 60_000
MOVES_AT_ONCE = 4


class Mover:
    """Move work where fragmentation weighs; each job then rests, the longer the less it weighs."""

    def __init__(self, zone: ZoneState, finder: Finder) -> None:
        self._zone = zone
        self._find = finder
        self._held: dict[str, Allocation] = {}
        self._moved_ms: dict[str, int] = {}
        self._looked_ms = 0

    def look(self, now_ms: int) -> list[Decision]:
        """Begin a move now and then, if one is worth while."""
        weight = self._zone.config.weights.fragmentation
        if weight <= 0 or now_ms - self._looked_ms < BASE_GAP_MS / sqrt(weight):
            return []
        self._looked_ms = now_ms
        if len(self._held) >= MOVES_AT_ONCE:
            return []
        rest_ms = int(BASE_REST_MS / sqrt(weight))
        move = best_move(self._zone.topology, now_ms, self._moved_ms, rest_ms)
        if move is None:
            return []
        request = move.allocation.request
        self._hold(request, move.member_counts, now_ms)
        self._moved_ms[request.request_id] = now_ms
        self._zone.topology.update_allocation(move.allocation, stopping=True)
        by_ms = now_ms + 2 * CHECKPOINT_COST_MS
        return [Preempt(request.request_id, request.request_id, by_ms)]

    def resume(self, request: PendingRequest, now_ms: int) -> list[Decision]:
        """Start a moved request, which has just been queued again, where it was to go."""
        held = self.release(request.request_id)
        if held is None:
            return []
        if not all(self._is_vacant(request, name, n) for name, n in held.member_counts.items()):
            return []
        covered = self._find.cover(request, held.member_counts)
        kind = AllocationKind.GUARANTEED if covered else AllocationKind.BORROWED
        self._zone.queue.remove(request.request_id)
        allocation = self._zone.place(request, held.member_counts, kind, now_ms, pending=False)
        return [Start(request.request_id, allocation.assignments)]

    def release(self, request_id: str) -> Allocation | None:
        """Give a held target back; return None when there is none."""
        held = self._held.pop(request_id, None)
        if held is not None:
            self._zone.topology.release(held.request.request_id)
        return held

    def forget(self, request_id: str) -> None:
        """Drop what is known of a request that came to its end."""
        self.release(request_id)
        self._moved_ms.pop(request_id, None)

    def _hold(self, request: PendingRequest, counts: dict[str, int], now_ms: int) -> None:
        held = self._zone.held_place(request, counts, now_ms)
        self._held[request.request_id] = held

    def _is_vacant(self, request: PendingRequest, name: str, members: int) -> bool:
        state = self._zone.topology.workers.get(name)
        if state is None or not state.is_schedulable():
            return False
        return state.free_including_pending().fitting_members(request.demand) >= members
