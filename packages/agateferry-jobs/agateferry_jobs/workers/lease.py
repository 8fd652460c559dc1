"""The lease of a worker: until when it may keep its runs going without hearing from the leader.

Deadlines are on the worker's own monotonic clock, which may run slow by `MAX_CLOCK_DRIFT`. From a
lower bound of that clock on, a deadline has certainly passed once the local clock has advanced by
the remaining time, stretched by the drift.
"""

from agateferry_jobs.workers.clock_bounds import ClockBounds, max_local_ms


class Lease:
    """The latest deadline that one worker may have received.

    A lease lasts `duration_ms` from each order; `start_ms` is the same for start orders, if that is
    shorter. `earlier_leases_until_ms`, on the local clock, is when all leases that earlier leaders
    may have granted have expired. A worker shortens a longer lease to `max_ms`.
    """

    def __init__(
        self,
        duration_ms: int,
        earlier_leases_until_ms: int,
        start_ms: int | None = None,
        max_ms: int | None = None,
    ) -> None:
        self._duration_ms = duration_ms
        self._max_ms = max(duration_ms, max_ms if max_ms is not None else duration_ms)
        self._start_ms = min(duration_ms, start_ms if start_ms is not None else duration_ms)
        self._earlier_leases_until_ms = earlier_leases_until_ms
        self._deadline_ms = 0
        self.bounds: ClockBounds | None = None
        """What is proved of the worker's clock; None before its first answer."""

    def read_answer(self, clock_ms: int, sent_ms: int, now_ms: int) -> None:
        """Record the clock in an answer that has just arrived, to an order sent at `sent_ms`.

        The answer goes before what contradicts it, which a report of another writer may have
        brought about. The deadlines that were granted by that tell nothing, so the longest lease
        counts as granted.
        """
        if self.bounds is None:
            self.bounds = ClockBounds.of_answer(clock_ms, sent_ms, now_ms)
        elif self.bounds.contradicts_answer(clock_ms, sent_ms, now_ms):
            self.bounds = ClockBounds.of_answer(clock_ms, sent_ms, now_ms)
            self.assume_foreign_order(now_ms)
            self._deadline_ms = 0
        else:
            self.bounds = self.bounds.with_answer(clock_ms, sent_ms, now_ms)

    def read_report(self, clock_ms: int, now_ms: int) -> None:
        """Record the clock in a report; before the first answer nothing shows that it is right."""
        if self.bounds is not None:
            self.bounds = self.bounds.with_report(clock_ms, now_ms)

    def grant_deadline(self, now_ms: int) -> int | None:
        """Return the deadline for a poll that is sent now; None before the first clock reading.

        The deadline counts as granted, whether or not the order arrives.
        """
        return self._grant(now_ms, self._duration_ms)

    def grant_start_deadline(self, now_ms: int) -> int | None:
        """Return the deadline for a start order; a worker refuses one that arrives after it."""
        return self._grant(now_ms, self._start_ms)

    def _grant(self, now_ms: int, duration_ms: int) -> int | None:
        if self.bounds is None:
            return None
        least = self.bounds.least
        deadline_ms = least.clock_ms + now_ms - least.at_ms + duration_ms
        self._deadline_ms = max(self._deadline_ms, deadline_ms)
        return deadline_ms

    def assume_foreign_order(self, now_ms: int) -> None:
        """Count the longest lease as granted, by an order that was sent to another incarnation.

        Its deadline is on that incarnation's clock and may be far in the future on this one's.
        """
        until_ms = now_ms + max_local_ms(self._max_ms)
        self._earlier_leases_until_ms = max(self._earlier_leases_until_ms, until_ms)

    def is_expired(self, now_ms: int) -> bool:
        """Return whether every lease granted so far has expired, so that no run can be going on."""
        return now_ms >= self._expiry_ms()

    def left_ms(self, now_ms: int) -> int:
        """Return the time until every lease granted so far has expired; 0 if that is over."""
        return max(0, self._expiry_ms() - now_ms)

    def _expiry_ms(self) -> int:
        expiry_ms = self._earlier_leases_until_ms
        if self.bounds is not None and self._deadline_ms:
            least = self.bounds.least
            left_ms = max(0, self._deadline_ms - least.clock_ms)
            expiry_ms = max(expiry_ms, least.at_ms + max_local_ms(left_ms))
        return expiry_ms
