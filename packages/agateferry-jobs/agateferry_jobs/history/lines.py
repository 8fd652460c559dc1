"""Log lines of several processes, put into one order."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from typing import Any

from agateferry_core.clock import MS_PER_S


@dataclass(frozen=True, slots=True)
class Line:
    """One line that a process wrote.

    `at_ms` is the time of day in ms since the Unix epoch; `source` is what stood before the JSON,
    such as the host's name that a collector puts there.
    """

    at_ms: int
    source: str
    number: int
    fields: dict[str, Any]

    def names(self, id: str) -> bool:
        """Tell whether this line is about a job."""
        return id in (self.fields.get("job"), self.fields.get("id"), self.fields.get("for_job"))


def read_lines(texts: Iterable[str]) -> list[Line]:
    """Return the lines that are log lines, by time; other text is passed over."""
    lines = [line for text in texts if (line := _line(text)) is not None]
    return sorted(lines, key=lambda line: line.at_ms)


def _line(text: str) -> Line | None:
    source, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
    except json.JSONDecodeError:
        return None
    at_ms = _at_ms(fields.get("timestamp"))
    number = fields.get("number")
    if at_ms is None or not isinstance(number, int):
        return None
    return Line(at_ms, source.strip(), number, fields)


def _at_ms(timestamp: Any) -> int | None:
    if not isinstance(timestamp, str):
        return None
    try:
        return round(datetime.fromisoformat(timestamp).timestamp() * MS_PER_S)
    except ValueError:
        return None


def of_job(lines: Iterable[Line], id: str) -> Iterator[Line]:
    """Return the lines about one job."""
    return (line for line in lines if line.names(id))
