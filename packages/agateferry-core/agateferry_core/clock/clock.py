"""The one clock type that every slice reads.

A clock gives two readings. `now_ms` is monotonic and serves for leases, timeouts and every other
difference of times. `wall_ms` is milliseconds since the Unix epoch and serves only for what people
and other hosts read, because it can jump.
"""

import time
from typing import Protocol

MS_PER_S = 1000
MONOTONIC = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """Tell the time in whole milliseconds."""

    def now_ms(self) -> int:
        """Return a monotonic reading; only differences have a meaning."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """Read the clocks of the operating system.

    Where there is one, the monotonic clock is the one that goes on while the machine is suspended,
    so that a host which slept does not take its lease for a fresh one.
    """

    def now_ms(self) -> int:
        """Return the monotonic clock in milliseconds."""
        return time.clock_gettime_ns(MONOTONIC) // 1_000_000

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """Stand still until told to move, for replays and tests.

    For example `clock = ManualClock(5); clock.advance(10); clock.now_ms()` gives 15.
    """

    def __init__(self, now_ms: int = 0, wall_offset_ms: int = 0) -> None:
        self._now_ms = now_ms
        self._wall_offset_ms = wall_offset_ms

    def now_ms(self) -> int:
        """Return the reading that was last set."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the reading plus the wall offset."""
        return self._now_ms + self._wall_offset_ms

    def advance(self, by_ms: int) -> None:
        """Move the clock forward by `by_ms` milliseconds."""
        if by_ms < 0:
            raise ValueError(f"a monotonic clock cannot go back by {-by_ms} ms")
        self._now_ms += by_ms

    def jump_wall(self, by_ms: int) -> None:
        """Shift the wall clock alone, as a correction by an operator or by NTP would."""
        self._wall_offset_ms += by_ms
