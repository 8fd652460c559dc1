"""Log lines of several processes, merged in order of time."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from typing import Any

from agateferry_core.clock import MS_PER_S


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line that a process wrote.

    `at_ms` is the time of the event in ms since the Unix epoch; `source` is the text before the
    JSON object, such as the host's name that a log collector puts there.
    """

    at_ms: int
    source: str
    number: int
    fields: dict[str, Any]

    def is_about(self, id: str) -> bool:
        """Return whether this line is about the job, or about a run that was stopped for it.

        The line of a crashed worker is about each job that ran there.
        """
        if id in (self.fields.get("job"), self.fields.get("id"), self.fields.get("for_job")):
            return True
        subtasks = self.fields.get("subtasks")
        is_list = isinstance(subtasks, list)
        return is_list and any(str(name).startswith(f"{id}.") for name in subtasks or ())


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines in order of time; text that is not a log line is skipped."""
    lines = [line for text in texts if (line := _parse_line(text)) is not None]
    return sorted(lines, key=lambda line: line.at_ms)


def _parse_line(text: str) -> LogLine | None:
    source, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
    except json.JSONDecodeError:
        return None
    at_ms = _parse_timestamp_ms(fields.get("timestamp"))
    number = fields.get("number")
    if at_ms is None or not isinstance(number, int):
        return None
    return LogLine(at_ms, source.strip(), number, fields)


def _parse_timestamp_ms(timestamp: Any) -> int | None:
    if not isinstance(timestamp, str):
        return None
    try:
        return round(datetime.fromisoformat(timestamp).timestamp() * MS_PER_S)
    except ValueError:
        return None


def lines_about_job(lines: Iterable[LogLine], id: str) -> Iterator[LogLine]:
    """Return the lines about one job."""
    return (line for line in lines if line.is_about(id))
