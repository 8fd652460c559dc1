"""Time in whole milliseconds, real or driven by hand."""

from agateferry_core.clock.clock import MS_PER_S, Clock, ManualClock, SystemClock

__all__ = ["MS_PER_S", "Clock", "ManualClock", "SystemClock"]
