"""Move running work: reserve the target, preempt the work and restart it there when requeued."""

from math import sqrt

from agateferry_scheduling.placement.compaction import best_move
from agateferry_scheduling.preemption.victims import CHECKPOINT_COST_MS
from agateferry_scheduling.scheduler.finder import PlacementFinder
from agateferry_scheduling.scheduler.messages import Decision, PendingRequest, Preempt, Start
from agateferry_scheduling.scheduler.zone import ZoneState
from agateferry_scheduling.topology import Allocation, AllocationKind

BASE_SEARCH_INTERVAL_MS = 4_000
BASE_COOLDOWN_MS = 60_000
MAX_CONCURRENT_MOVES = 4


class Mover:
    """Move work to reduce fragmentation.

    Both the interval between searches and the time until the same request may move again grow as
    the weight of fragmentation falls.
    """

    def __init__(self, zone: ZoneState, finder: PlacementFinder) -> None:
        self._zone = zone
        self._finder = finder
        self._targets: dict[str, Allocation] = {}
        self._moved_ms: dict[str, int] = {}
        self._searched_ms = 0

    def start_move_if_due(self, now_ms: int) -> list[Decision]:
        """Start the most useful move, if any, once the search interval has passed."""
        weight = self._zone.config.weights.fragmentation
        if weight <= 0 or now_ms - self._searched_ms < BASE_SEARCH_INTERVAL_MS / sqrt(weight):
            return []
        self._searched_ms = now_ms
        if len(self._targets) >= MAX_CONCURRENT_MOVES:
            return []
        cooldown_ms = int(BASE_COOLDOWN_MS / sqrt(weight))
        move = best_move(self._zone.topology, now_ms, self._moved_ms, cooldown_ms)
        if move is None:
            return []
        request = move.allocation.request
        self._reserve_target(request, move.member_counts, now_ms)
        self._moved_ms[request.request_id] = now_ms
        self._zone.topology.update_allocation(move.allocation, stopping=True)
        stop_by_ms = now_ms + 2 * CHECKPOINT_COST_MS
        return [Preempt(request.request_id, request.request_id, stop_by_ms)]

    def resume(self, request: PendingRequest, now_ms: int) -> list[Decision]:
        """Start a moved request, which has just been requeued, on its target."""
        target = self.release(request.request_id)
        if target is None:
            return []
        if not all(self._is_vacant(request, name, n) for name, n in target.member_counts.items()):
            return []
        covered = self._finder.cover_with_cells(request, target.member_counts)
        kind = AllocationKind.GUARANTEED if covered else AllocationKind.BORROWED
        self._zone.queue.remove(request.request_id)
        allocation = self._zone.place(request, target.member_counts, kind, now_ms, pending=False)
        return [Start(request.request_id, allocation.assignments)]

    def release(self, request_id: str) -> Allocation | None:
        """Release the target reserved for a request; return None if there is none."""
        target = self._targets.pop(request_id, None)
        if target is not None:
            self._zone.topology.release(target.request.request_id)
        return target

    def forget(self, request_id: str) -> None:
        """Discard the state of a request that ended."""
        self.release(request_id)
        self._moved_ms.pop(request_id, None)

    def _reserve_target(self, request: PendingRequest, counts: dict[str, int], now_ms: int) -> None:
        target = self._zone.reserve_move_target(request, counts, now_ms)
        self._targets[request.request_id] = target

    def _is_vacant(self, request: PendingRequest, name: str, members: int) -> bool:
        state = self._zone.topology.workers.get(name)
        if state is None or not state.is_schedulable():
            return False
        return state.free_including_pending().fitting_members(request.demand) >= members
