"""The lines of a trace: JSON objects, each with an event and its time in milliseconds.

For example `{"event": "cancelled", "at_ms": 1200, "request_id": "r7"}`. Lines are ordered by time.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields, is_dataclass, replace
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import Field, TypeAdapter, ValidationError

from agateferry_core.demand import Worker
from agateferry_scheduling.scheduler.messages import PendingRequest, SchedulingConfig, Team


class TraceError(ValueError):
    """A line of a trace file is not valid; the text names the file and the line number."""


@dataclass(frozen=True)
class WorkerUp:
    """A worker joined, or joined again."""

    at_ms: int
    worker: Worker
    event: Literal["worker-up"] = "worker-up"


@dataclass(frozen=True)
class WorkerLeft:
    """A worker is draining: it accepts no new work, and its runs continue."""

    at_ms: int
    name: str
    event: Literal["worker-left"] = "worker-left"


@dataclass(frozen=True)
class WorkerDown:
    """A worker was lost, with all its runs."""

    at_ms: int
    name: str
    event: Literal["worker-down"] = "worker-down"


@dataclass(frozen=True)
class WorkerBroke:
    """A worker fails every run that it starts from now on; with `mended` it no longer does."""

    at_ms: int
    name: str
    mended: bool = False
    event: Literal["worker-broke"] = "worker-broke"


@dataclass(frozen=True)
class TeamsSet:
    """The teams changed to this list."""

    at_ms: int
    teams: tuple[Team, ...]
    event: Literal["teams"] = "teams"


@dataclass(frozen=True)
class ConfigSet:
    """The scheduling configuration changed to this one."""

    at_ms: int
    config: SchedulingConfig
    event: Literal["config"] = "config"


@dataclass(frozen=True)
class EvacuationSet:
    """The zone was evacuated, or readmitted."""

    at_ms: int
    evacuated: bool
    event: Literal["evacuation"] = "evacuation"


@dataclass(frozen=True)
class Submitted:
    """A request was submitted; `run_ms` is its real run time, or None where that is not known."""

    at_ms: int
    request: PendingRequest
    run_ms: int | None = None
    fails: bool = False
    event: Literal["submitted"] = "submitted"


@dataclass(frozen=True)
class Ended:
    """A recorded request ended by itself; `merge_run_times` moves `run_ms` to its `Submitted`."""

    at_ms: int
    request_id: str
    run_ms: int
    fails: bool = False
    event: Literal["ended"] = "ended"


@dataclass(frozen=True)
class Cancelled:
    """The caller cancelled a request."""

    at_ms: int
    request_id: str
    event: Literal["cancelled"] = "cancelled"


@dataclass(frozen=True)
class UsageSeen:
    """A worker reported its usage at `as_of_ms`, a time in the past."""

    at_ms: int
    name: str
    as_of_ms: int
    slots_used: int
    accelerators_used: int
    event: Literal["usage"] = "usage"


Record = (
    WorkerUp
    | WorkerLeft
    | WorkerDown
    | WorkerBroke
    | TeamsSet
    | ConfigSet
    | EvacuationSet
    | Submitted
    | Ended
    | Cancelled
    | UsageSeen
)

_ADAPTER: TypeAdapter[Record] = TypeAdapter(Annotated[Record, Field(discriminator="event")])


def read_trace(path: Path) -> list[Record]:
    """Return a trace's records in their order; raise `TraceError` for a line that is not valid."""
    records: list[Record] = []
    with path.open(encoding="utf-8") as lines:
        for number, line in enumerate(lines, start=1):
            if line.strip():
                records.append(_parse_line(line, path, number))
    return merge_run_times(records)


def write_trace(path: Path, records: Iterable[Record]) -> None:
    """Write records as JSON lines."""
    with path.open("w", encoding="utf-8") as lines:
        for record in records:
            lines.write(format_line(record) + "\n")


def format_line(record: Record) -> str:
    """Return a record as one line of JSON, without fields that have their default values."""
    return json.dumps({"event": record.event} | without_defaults(record), separators=(",", ":"))


def without_defaults(value: Any) -> Any:
    """Return a data class as a dict without the fields that have their default values.

    Data classes and tuples inside are converted too; other values are returned unchanged.
    """
    if isinstance(value, tuple):
        return [without_defaults(part) for part in value]
    if not is_dataclass(value):
        return value
    pairs = ((field.name, field.default, getattr(value, field.name)) for field in fields(value))
    return {name: without_defaults(part) for name, default, part in pairs if part != default}


def merge_run_times(records: list[Record]) -> list[Record]:
    """Copy each recorded run time to the request's `Submitted`, and drop the `Ended` records."""
    ends = {record.request_id: record for record in records if isinstance(record, Ended)}
    return list(_with_run_times(records, ends))


def _with_run_times(records: list[Record], ends: dict[str, Ended]) -> Iterator[Record]:
    for record in records:
        if isinstance(record, Ended):
            continue
        if isinstance(record, Submitted) and record.request.request_id in ends:
            end = ends[record.request.request_id]
            yield replace(record, run_ms=end.run_ms, fails=end.fails)
            continue
        yield record


def _parse_line(line: str, path: Path, number: int) -> Record:
    try:
        return _ADAPTER.validate_json(line)
    except ValidationError as exc:
        raise TraceError(f"{path}:{number} is not a trace line: {exc.errors()[0]['msg']}") from exc
