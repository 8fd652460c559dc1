"""Keep one reservation for the oldest blocked gang, and let what overruns yield to it."""

from agateferry_scheduling.queueing.reservation import Reservation, reserve
from agateferry_scheduling.scheduler.messages import Decision
from agateferry_scheduling.scheduler.reclaiming import Reclaimer
from agateferry_scheduling.scheduler.zone import ZoneState

RESERVATION_CHECK_MS = 5_000
RESERVE_AFTER_MS = 30 * 60_000


class Reserver:
    """Make, keep and drop the reservation; it begins later as completion time weighs more."""

    def __init__(self, zone: ZoneState, reclaimer: Reclaimer) -> None:
        self._zone = zone
        self._reclaimer = reclaimer
        self._reserved_ms = -RESERVATION_CHECK_MS

    def serve(self, now_ms: int) -> list[Decision]:
        """Keep one reservation for the oldest blocked gang; overrunning backfill yields to it."""
        zone = self._zone
        reservation = zone.reservation
        if reservation is not None and zone.queue.get(reservation.request.request_id) is None:
            self._drop()
            reservation = None
        if reservation is not None and now_ms >= reservation.start_ms:
            found = self._reclaimer.yield_to(reservation.request, reservation.workers, now_ms)
            if found:
                self._drop()
                return found
        if now_ms - self._reserved_ms < RESERVATION_CHECK_MS:
            return []
        if reservation is None or now_ms >= reservation.start_ms or self._is_broken(reservation):
            self._reserved_ms = now_ms
            oldest = zone.queue.oldest_large()
            self._drop()
            after_ms = RESERVE_AFTER_MS * zone.config.weights.completion_time
            if oldest is not None and now_ms - oldest.submitted_ms >= after_ms:
                zone.reservation = reserve(zone.topology, zone.estimates, oldest, now_ms)
        return []

    def _drop(self) -> None:
        """Let searches look again at the workers that were kept."""
        if self._zone.reservation is not None:
            self._zone.topology.freed_log.add(sorted(self._zone.reservation.workers))
        self._zone.reservation = None

    def _is_broken(self, reservation: Reservation) -> bool:
        workers = self._zone.topology.workers
        return not all(
            name in workers and workers[name].is_schedulable() for name in reservation.workers
        )
