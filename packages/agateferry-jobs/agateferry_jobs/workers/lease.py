"""The lease of a worker: until when it may keep its runs going without hearing from the leader.

Deadlines are on the worker's own monotonic clock, which may run slow by `MAX_CLOCK_DRIFT`. The
reading in an answer is a lower bound of that clock when the answer arrives. So a deadline has
certainly passed once the local clock has advanced since then by the remaining time, stretched by
the drift.
"""

import math
from dataclasses import dataclass

MAX_CLOCK_DRIFT = 0.02
"""The share by which a worker's clock may run slow, as the platform's documentation states."""
EXPIRY_MARGIN_MS = 150
"""Time waited beyond a lease's end, because the worker kills its runs a moment after it."""


CLOCK_PROOF_MARGIN_MS = 2_000
"""How much further an incarnation's clock must be than one that has started since could be.

It covers the time for which this process or its machine stood still, which its clock may not count.
"""


MAX_REPORT_DELAY_MS = 1_000
"""A worker gives up a report that was not acknowledged in this time, and sends a new one."""


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A reading of one incarnation's clock, and the local time at which it arrived."""

    clock_ms: int
    read_at_ms: int

    def excludes(self, clock_ms: int) -> bool:
        """Return whether a later answer with this clock is of another incarnation.

        A clock never goes back; that of a new incarnation starts anew.
        """
        return clock_ms < self.clock_ms

    def identifies(self, clock_ms: int, now_ms: int) -> bool:
        """Return whether a later answer with this clock can only be of the same incarnation.

        The clock of one that has started since then reads at most the time since the reading.
        """
        newest_other_ms = now_ms - self.read_at_ms + CLOCK_PROOF_MARGIN_MS
        return not self.excludes(clock_ms) and clock_ms > newest_other_ms

    def may_precede(self, clock_ms: int, now_ms: int) -> bool:
        """Return whether a report that arrives now, with this clock, fits the same incarnation.

        It was written at most `MAX_REPORT_DELAY_MS` before the reading, and after it the clock has
        advanced by no more than the time since.
        """
        latest_ms = self.clock_ms + max_local_ms(now_ms - self.read_at_ms) + MAX_REPORT_DELAY_MS
        return self.clock_ms - MAX_REPORT_DELAY_MS <= clock_ms <= latest_ms


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
        self._clock_ms: int | None = None
        self._read_at_ms = 0
        self._deadline_ms = 0

    @property
    def has_clock(self) -> bool:
        """Return whether a reading of the worker's clock has arrived."""
        return self._clock_ms is not None

    def read_clock(self, clock_ms: int, now_ms: int) -> None:
        """Record a reading of the worker's clock that has just arrived; an older one is ignored."""
        if self._clock_ms is None or clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._read_at_ms = now_ms

    @property
    def newest_reading(self) -> ClockReading | None:
        """Return the newest reading of the worker's clock; None before the first one."""
        if self._clock_ms is None:
            return None
        return ClockReading(self._clock_ms, self._read_at_ms)

    def may_be_clock(self, clock_ms: int, now_ms: int) -> bool:
        """Return whether a report with this clock may be the worker's, written of late."""
        reading = self.newest_reading
        return reading is None or reading.may_precede(clock_ms, now_ms)

    def grant_deadline(self, now_ms: int) -> int | None:
        """Return the deadline for a poll that is sent now; None before the first clock reading.

        The deadline counts as granted, whether or not the order arrives.
        """
        return self._grant(now_ms, self._duration_ms)

    def grant_start_deadline(self, now_ms: int) -> int | None:
        """Return the deadline for a start order; a worker refuses one that arrives after it."""
        return self._grant(now_ms, self._start_ms)

    def _grant(self, now_ms: int, duration_ms: int) -> int | None:
        if self._clock_ms is None:
            return None
        deadline_ms = self._clock_ms + now_ms - self._read_at_ms + duration_ms
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
        if self._clock_ms is not None and self._deadline_ms:
            left_ms = max(0, self._deadline_ms - self._clock_ms)
            expiry_ms = max(expiry_ms, self._read_at_ms + max_local_ms(left_ms))
        return expiry_ms


def max_local_ms(worker_ms: int) -> int:
    """Return the local time, margin included, within which a worker's clock passes `worker_ms`."""
    return math.ceil(worker_ms / (1 - MAX_CLOCK_DRIFT)) + EXPIRY_MARGIN_MS
