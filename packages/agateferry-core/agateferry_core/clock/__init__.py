"""Clocks in whole milliseconds: the system's, and one that tests and replays set."""

from agateferry_core.clock.clock import MS_PER_S, Clock, ManualClock, SystemClock

__all__ = ["MS_PER_S", "Clock", "ManualClock", "SystemClock"]
