"""The lines of a trace: one JSON object each, with its time in milliseconds and its event.

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
    """A trace file holds a line that is none; the text gives its file and number."""


@dataclass(frozen=True)
class WorkerUp:
    """A worker joined."""

    at_ms: int
    worker: Worker
    event: Literal["worker-up"] = "worker-up"


@dataclass(frozen=True)
class WorkerLeft:
    """A worker announced that it leaves; what it runs goes on."""

    at_ms: int
    name: str
    event: Literal["worker-left"] = "worker-left"


@dataclass(frozen=True)
class WorkerDown:
    """A worker was lost with all that it ran."""

    at_ms: int
    name: str
    event: Literal["worker-down"] = "worker-down"


@dataclass(frozen=True)
class WorkerBroke:
    """From now on a worker fails everything that it starts, until it is mended."""

    at_ms: int
    name: str
    mended: bool = False
    event: Literal["worker-broke"] = "worker-broke"


@dataclass(frozen=True)
class TeamsSet:
    """The list of teams as of now."""

    at_ms: int
    teams: tuple[Team, ...]
    event: Literal["teams"] = "teams"


@dataclass(frozen=True)
class ConfigSet:
    """The scheduling configuration as of now."""

    at_ms: int
    config: SchedulingConfig
    event: Literal["config"] = "config"


@dataclass(frozen=True)
class Submitted:
    """A request came; `run_ms` is how long it really runs, and None where that was not seen."""

    at_ms: int
    request: PendingRequest
    run_ms: int | None = None
    fails: bool = False
    event: Literal["submitted"] = "submitted"


@dataclass(frozen=True)
class Ended:
    """A recorded request ran to its end; gives the run time to its `Submitted` line."""

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
    """A worker reported usage as it was at `as_of_ms`."""

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
    | Submitted
    | Ended
    | Cancelled
    | UsageSeen
)

_ADAPTER: TypeAdapter[Record] = TypeAdapter(Annotated[Record, Field(discriminator="event")])


def read_trace(path: Path) -> list[Record]:
    """Return a trace's records in their order; raise `TraceError` for a bad line."""
    records: list[Record] = []
    with path.open(encoding="utf-8") as lines:
        for number, line in enumerate(lines, start=1):
            if line.strip():
                records.append(_parse(line, path, number))
    return merge_ends(records)


def write_trace(path: Path, records: Iterable[Record]) -> None:
    """Write records as JSON lines."""
    with path.open("w", encoding="utf-8") as lines:
        for record in records:
            lines.write(line_of(record) + "\n")


def line_of(record: Record) -> str:
    """Return a record as one line of JSON; what has its default value is left out."""
    return json.dumps({"event": record.event} | slim(record), separators=(",", ":"))


def slim(value: Any) -> Any:
    """Return data classes as maps without the fields that have their default values."""
    if isinstance(value, tuple):
        return [slim(part) for part in value]
    if not is_dataclass(value):
        return value
    pairs = ((field.name, field.default, getattr(value, field.name)) for field in fields(value))
    return {name: slim(part) for name, default, part in pairs if part != default}


def merge_ends(records: list[Record]) -> list[Record]:
    """Give each recorded run time to the request that it belongs to."""
    ends = {record.request_id: record for record in records if isinstance(record, Ended)}
    return list(_merged(records, ends))


def _merged(records: list[Record], ends: dict[str, Ended]) -> Iterator[Record]:
    for record in records:
        if isinstance(record, Ended):
            continue
        if isinstance(record, Submitted) and record.request.request_id in ends:
            end = ends[record.request.request_id]
            yield replace(record, run_ms=end.run_ms, fails=end.fails)
            continue
        yield record


def _parse(line: str, path: Path, number: int) -> Record:
    try:
        return _ADAPTER.validate_json(line)
    except ValidationError as exc:
        raise TraceError(f"{path}:{number} is no trace line: {exc.errors()[0]['msg']}") from exc
