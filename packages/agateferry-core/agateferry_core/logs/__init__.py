"""Numbered log events."""

from agateferry_core.logs.logs import Event, EventLogger, configure

__all__ = ["Event", "EventLogger", "configure"]
