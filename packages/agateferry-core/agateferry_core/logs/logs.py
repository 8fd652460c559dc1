"""Structured log lines whose events have numbers that never change.

Every module that logs declares its events once, as `Event` values, and writes them through an
`EventLogger`. The catalogue in docs/events.md lists them all; a test compares the two.

For example `LEADER = Event(2001, "leader elected", "Nothing to do.")` and then
`log.info(LEADER, cell="norsk-a", term=3)`.
"""

import logging
import sys
from dataclasses import dataclass
from typing import Any, TextIO, cast

import structlog

from agateferry_core.logs.writer import LineWriter

REGISTRY: dict[int, "Event"] = {}


@dataclass(frozen=True)
class Event:
    """One kind of log line: its number, its text and what a reader can do about it."""

    number: int
    text: str
    advice: str

    def __post_init__(self) -> None:
        """Enter the event into the registry; a number stands for one text only."""
        known = REGISTRY.setdefault(self.number, self)
        if known != self:
            raise ValueError(
                f"log event {self.number} is declared twice: {known.text}, {self.text}"
            )


class EventLogger:
    """Write events with their numbers and a set of fields bound in advance."""

    def __init__(self, **bound: Any) -> None:
        self._log = structlog.get_logger().bind(**bound)

    def info(self, event: Event, **fields: Any) -> None:
        """Write an event of the ordinary course of things."""
        self._log.info(event.text, number=event.number, **fields)

    def warning(self, event: Event, **fields: Any) -> None:
        """Write an event that someone should look at, with the advice that belongs to it."""
        self._log.warning(event.text, number=event.number, advice=event.advice, **fields)

    def error(self, event: Event, **fields: Any) -> None:
        """Write an event that someone must act on, with the advice that belongs to it."""
        self._log.error(event.text, number=event.number, advice=event.advice, **fields)


def configure(
    level: str = "info", as_json: bool = True, file: TextIO | LineWriter | None = None
) -> None:
    """Send log lines to `file`, standard error where none is given; as JSON or for people."""
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
