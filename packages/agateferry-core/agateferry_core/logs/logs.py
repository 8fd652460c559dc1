"""Structured log lines; each event has a number that never changes.

Every module that logs declares its events once, as `Event` values, and writes them through an
`EventLogger`. The catalogue in docs/events.md lists them all; a test compares the two.

For example `LEADER = Event(2001, "leader elected", "Nothing to do.")` and then
`log.info(LEADER, cell="norsk-a", term=3)`.
"""

import logging
import sys
from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property
from typing import Any, TextIO, cast

import structlog

from agateferry_core.logs.writer import LineWriter

EVENTS_BY_NUMBER: dict[int, "Event"] = {}


@dataclass(frozen=True)
class Event:
    """One kind of log line: its number, its text and what an operator can do about it."""

    number: int
    text: str
    advice: str

    def __post_init__(self) -> None:
        """Register the event; raise ValueError where its number has another text already."""
        known = EVENTS_BY_NUMBER.setdefault(self.number, self)
        if known != self:
            raise ValueError(
                f"log event {self.number} is declared twice: {known.text}, {self.text}"
            )


class EventLogger:
    """Write events with their numbers, and with fields that all its lines have in common."""

    def __init__(self, **bound: Any) -> None:
        self._bound = bound

    @cached_property
    def _log(self) -> Any:
        """Return the bound logger, made for the first line; many of these never write one."""
        return structlog.get_logger().bind(**self._bound)

    def info(self, event: Event, **fields: Any) -> None:
        """Log an event of normal operation."""
        self._log.info(event.text, number=event.number, **fields)

    def warning(self, event: Event, **fields: Any) -> None:
        """Log an event that an operator should look into, with its advice."""
        self._log.warning(event.text, number=event.number, advice=event.advice, **fields)

    def error(self, event: Event, **fields: Any) -> None:
        """Log an event that an operator must act on, with its advice."""
        self._log.error(event.text, number=event.number, advice=event.advice, **fields)

    def on_exception(self, event: Event) -> Callable[[BaseException], None]:
        """Return a callback that logs an exception as an error, with its text as the detail."""
        return lambda exc: self.error(event, detail=repr(exc))


def configure(
    level: str = "info", as_json: bool = True, file: TextIO | LineWriter | None = None
) -> None:
    """Write log lines of `level` and above to `file`, which is standard error by default.

    The lines are JSON objects, or plain text for people where `as_json` is false.
    """
    renderer: Any = structlog.processors.JSONRenderer()
    if not as_json:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, file or sys.stderr)),
    )
