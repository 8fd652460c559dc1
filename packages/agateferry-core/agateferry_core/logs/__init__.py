"""Numbered log events."""

from agateferry_core.logs.logs import Event, EventLogger, configure
from agateferry_core.logs.writer import LineWriter

__all__ = ["Event", "EventLogger", "LineWriter", "configure"]
