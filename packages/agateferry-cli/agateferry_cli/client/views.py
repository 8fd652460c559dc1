"""Checked views of the hosts' answers, with the fields that the tables show."""

from typing import Any, TypeVar
from urllib.parse import quote

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from agateferry_cli.client.failures import ExitCode, Failure

FINAL_STATES = ("finished", "cancelled", "failed", "refused")

V = TypeVar("V", bound="View")


class View(BaseModel):
    """The base of all views; fields that this version does not know are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class RequestView(View):
    """The current state of a request."""

    id: str
    team: str = ""
    job: str = ""
    state: str
    attempt: int = 0
    progress: float | None = None
    checkpoint_step: int | None = None
    answer: str | None = None
    stage: str | None = None
    run: str | None = None
    detail: str | None = None

    @property
    def is_final(self) -> bool:
        """Return whether the request has ended."""
        return self.state in FINAL_STATES


class WorkerView(View):
    """A worker of the zone."""

    name: str
    zone: str = ""
    rack: str = ""
    state: str = ""
    accelerators: int = 0
    accelerators_free: int = 0
    slots: int = 0
    slots_free: int = 0
    last_seen_ms: int | None = None
    health: Any = ""


class TeamView(View):
    """A team's guarantee and its use of the zone."""

    name: str
    guarantee: Any = None
    accelerators_held: int = 0
    running: int = 0
    queued: int = 0
    at_risk: bool = False


class QueuedView(View):
    """A request that waits in the queue."""

    id: str
    team: str = ""
    job: str = ""
    urgency: str = ""
    state: str = ""
    waiting_ms: int = 0


class ExplanationView(View):
    """Why a request has not started, and what would let it start."""

    request_id: str
    state: str = ""
    waits_for: str = ""
    would_start_if: str = ""
    details: tuple[str, ...] = ()


class HostRecordsView(View):
    """The revision of the records that is in force on a host."""

    host: str
    zone: str = ""
    revision: int | None = None
    reachable: bool = True


class RecordsStatusView(View):
    """The newest revision of the records, and the revision in force on each host."""

    hosts: tuple[HostRecordsView, ...] = ()
    newest: int = 0


class RecordView(View):
    """One version of a record."""

    kind: str
    name: str
    version: int
    revision: int
    shown_schema: str = Field("", alias="schema")
    content: dict[str, Any] = {}


class MemberView(View):
    """One member of a replicated log; a member without a vote is still catching up."""

    host: str
    incarnation: str = ""
    voter: bool = True
    disk: bool = True


class LogView(View):
    """The last entry of a host's log; the log with the higher pair of both numbers is newer."""

    term: int
    index: int


class RecordsPlaneView(View):
    """One host's state in the records plane; `role` is empty on a host without a vote there."""

    revision: int | None = None
    role: str = ""
    leader: str | None = None
    log: LogView | None = None


class CellView(View):
    """One host's view of its zone's cell."""

    host: str = ""
    zone: str = ""
    term: int = 0
    role: str = ""
    leader: str | None = None
    members: tuple[MemberView, ...] = ()
    records: RecordsPlaneView = RecordsPlaneView()
    reachable: bool = True
    log: LogView | None = None


class MembershipChangeView(View):
    """What a membership change did or would do, with warnings about data that may be lost."""

    asked: str
    zone: str
    group: str
    changed: bool
    dry_run: bool = False
    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()


class EvacuationView(View):
    """The state of a zone: evacuated or not, and what is left there where it was asked for.

    `in_force` tells whether the zone's cell obeys; it and the counts are None where unknown.
    """

    zone: str
    evacuated: bool = True
    since_ms: int = 0
    requested_by: str = ""
    changed: bool = True
    in_force: bool | None = None
    running: int | None = None
    queued: int | None = None


def parse_view(model: type[V], body: Any) -> Result[V, Failure]:
    """Parse a body; the failure names the first field that does not match the view."""
    try:
        return Ok(model.model_validate(body))
    except ValidationError as exc:
        error = exc.errors(include_url=False)[0]
        field = ".".join(str(part) for part in error["loc"]) or "body"
        text = f"the host's answer is not understood: {field}: {error['msg']}"
        return Error(
            Failure(
                ExitCode.INTERNAL,
                text,
                "Use --json, or the version of agateferry that the host runs.",
            )
        )


def parse_views(model: type[V], body: Any, key: str) -> Result[list[V], Failure]:
    """Parse each item of the list that the body has under `key`."""
    items = body.get(key, []) if isinstance(body, dict) else []
    views: list[V] = []
    for item in items:
        view = parse_view(model, item)
        if view.is_error():
            return Error(view.error)
        views.append(view.ok)
    return Ok(views)


def parse_request_view(body: Any) -> Result[RequestView, Failure]:
    """Parse the body of a request."""
    return parse_view(RequestView, body)


def request_path(request_id: str) -> str:
    """Return the path of a request on the callers' port."""
    return f"/v1/requests/{quote(request_id, safe='')}"
