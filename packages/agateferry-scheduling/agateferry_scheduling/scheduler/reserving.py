"""Maintain one reservation for the oldest blocked gang."""

from agateferry_scheduling.queueing.reservation import Reservation, reserve
from agateferry_scheduling.scheduler.messages import Decision
from agateferry_scheduling.scheduler.preempting import Preemptor
from agateferry_scheduling.scheduler.zone import ZoneState

RESERVATION_CHECK_MS = 5_000
RESERVE_AFTER_MS = 30 * 60_000


class Reserver:
    """Create and cancel the reservation.

    A gang gets a reservation after a wait that grows with the weight of completion time.
    """

    def __init__(self, zone: ZoneState, preemptor: Preemptor) -> None:
        self._zone = zone
        self._preemptor = preemptor
        self._attempted_ms = -RESERVATION_CHECK_MS

    def update(self, now_ms: int) -> list[Decision]:
        """Update the reservation and preempt backfilled work that overran on reserved workers."""
        zone = self._zone
        reservation = zone.reservation
        if reservation is not None and zone.queue.get(reservation.request.request_id) is None:
            self._cancel()
            reservation = None
        if reservation is not None and now_ms >= reservation.start_ms:
            found = self._preemptor.preempt_overrunning(
                reservation.request, reservation.workers, now_ms
            )
            if found:
                self._cancel()
                return found
        if now_ms - self._attempted_ms < RESERVATION_CHECK_MS:
            return []
        if reservation is None or now_ms >= reservation.start_ms or self._is_broken(reservation):
            self._attempted_ms = now_ms
            oldest = zone.queue.oldest_large()
            self._cancel()
            after_ms = RESERVE_AFTER_MS * zone.config.weights.completion_time
            if oldest is not None and now_ms - oldest.submitted_ms >= after_ms:
                zone.reservation = reserve(zone.topology, zone.estimates, oldest, now_ms)
        return []

    def _cancel(self) -> None:
        """Cancel the reservation and make its workers available to searches again."""
        if self._zone.reservation is not None:
            self._zone.topology.freed_log.add(sorted(self._zone.reservation.workers))
        self._zone.reservation = None

    def _is_broken(self, reservation: Reservation) -> bool:
        workers = self._zone.topology.workers
        return not all(
            name in workers and workers[name].is_schedulable() for name in reservation.workers
        )
