"""Time in whole milliseconds, real or driven by hand."""

from agateferry_core.clock.clock import Clock, ManualClock, SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
