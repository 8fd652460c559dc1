"""Until when a worker may keep running what it holds.

Deadlines are on the worker's own steady clock, which may be slow by `MAX_DRIFT`. A reading of it
that came with an answer is a lower bound at the time of arrival, so a deadline is surely past once
the local clock has gone on from there by the difference, stretched by the drift.
"""

import math

MAX_DRIFT = 0.02
"""The share by which a worker's clock may be slow, as the platform's pages state it."""
MARGIN_MS = 150
"""What is waited beyond the end of a lease: the worker kills its runs a moment after it."""


class Lease:
    """The newest deadline that one worker may have been given."""

    def __init__(self, length_ms: int, unknown_until_ms: int) -> None:
        self._length_ms = length_ms
        self._unknown_until_ms = unknown_until_ms
        self._clock_ms: int | None = None
        self._read_at_ms = 0
        self._deadline_ms = 0

    @property
    def has_clock(self) -> bool:
        """Tell whether the worker's clock was ever read."""
        return self._clock_ms is not None

    def read_clock(self, clock_ms: int, now_ms: int) -> None:
        """Take a reading that has just arrived."""
        if self._clock_ms is None or clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._read_at_ms = now_ms

    def next_deadline(self, now_ms: int) -> int | None:
        """Return the deadline for an order that is sent now, and count it as given."""
        if self._clock_ms is None:
            return None
        deadline_ms = self._clock_ms + now_ms - self._read_at_ms + self._length_ms
        self._deadline_ms = max(self._deadline_ms, deadline_ms)
        return deadline_ms

    def is_over(self, now_ms: int) -> bool:
        """Tell whether no run can go on under any deadline given so far."""
        over_ms = self._unknown_until_ms
        if self._clock_ms is not None and self._deadline_ms:
            left_ms = max(0, self._deadline_ms - self._clock_ms)
            over_ms = max(over_ms, self._read_at_ms + longest_local_ms(left_ms))
        return now_ms >= over_ms


def longest_local_ms(worker_ms: int) -> int:
    """Return how long a time on a worker's clock may take on the local one, with the margin."""
    return math.ceil(worker_ms / (1 - MAX_DRIFT)) + MARGIN_MS
