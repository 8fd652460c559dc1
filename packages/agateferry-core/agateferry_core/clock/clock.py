"""The clock interface that all packages use.

A clock has two readings. `now_ms` is monotonic; leases, timeouts and all other differences of times
use it. `wall_ms` is milliseconds since the Unix epoch; it can jump, so it is used only in what
people and other hosts read.
"""

import time
from typing import Protocol

MS_PER_S = 1000
MONOTONIC_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """Read the time in whole milliseconds."""

    def now_ms(self) -> int:
        """Return a monotonic reading in milliseconds; only differences have a meaning."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """Read the clocks of the operating system.

    The monotonic clock is CLOCK_BOOTTIME where the system has it. It advances while the machine is
    suspended, so a host that resumes does not take its expired lease for a valid one.
    """

    def now_ms(self) -> int:
        """Return the monotonic clock in milliseconds."""
        return time.clock_gettime_ns(MONOTONIC_CLOCK_ID) // 1_000_000

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """Return times that replays and tests set by hand.

    For example `clock = ManualClock(5); clock.advance(10); clock.now_ms()` gives 15.
    """

    def __init__(self, now_ms: int = 0, wall_offset_ms: int = 0) -> None:
        self._now_ms = now_ms
        self._wall_offset_ms = wall_offset_ms

    def now_ms(self) -> int:
        """Return the monotonic reading that was last set."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the monotonic reading plus the offset of the wall clock."""
        return self._now_ms + self._wall_offset_ms

    def advance(self, by_ms: int) -> None:
        """Move the clock forward by `by_ms` milliseconds."""
        if by_ms < 0:
            raise ValueError(f"a monotonic clock cannot go back by {-by_ms} ms")
        self._now_ms += by_ms

    def jump_wall(self, by_ms: int) -> None:
        """Shift only the wall clock, as a correction by an operator or by NTP does."""
        self._wall_offset_ms += by_ms
