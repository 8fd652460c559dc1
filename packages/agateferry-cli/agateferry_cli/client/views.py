"""The answers of hosts, checked and typed as far as tables need them."""

from typing import Any, TypeVar
from urllib.parse import quote

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from agateferry_cli.client.failures import ExitCode, Failure

FINAL_STATES = ("finished", "cancelled", "failed", "refused")

V = TypeVar("V", bound="View")


class View(BaseModel):
    """The base of all views; fields that this version does not know are left out."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class RequestView(View):
    """A request as it stands."""

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
        """Tell whether nothing more will become of the request."""
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
    """A team's share of the zone."""

    name: str
    guarantee: Any = None
    accelerators_held: int = 0
    running: int = 0
    queued: int = 0
    at_risk: bool = False


class QueuedView(View):
    """A request that waits."""

    id: str
    team: str = ""
    job: str = ""
    urgency: str = ""
    state: str = ""
    waiting_ms: int = 0


class ExplanationView(View):
    """Why a request is where it is."""

    request_id: str
    state: str = ""
    waits_for: str = ""
    would_start_if: str = ""
    details: tuple[str, ...] = ()


class HostRecordsView(View):
    """The newest revision in force on a host."""

    host: str
    zone: str = ""
    revision: int | None = None
    reachable: bool = True


class RecordsStatusView(View):
    """The newest revision and that of each host."""

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
    """One member of a replicated log; one that does not vote still catches up."""

    host: str
    incarnation: str = ""
    voter: bool = True
    disk: bool = True


class LogView(View):
    """The last entry of a host's log; of two logs the one with the higher pair is the newer."""

    term: int
    index: int


class RecordsPlaneView(View):
    """One host's share in the records plane; `role` is empty on a host that does not vote."""

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
    """What a change of members did, or would do, and what may be lost by it."""

    asked: str
    zone: str
    group: str
    changed: bool
    dry_run: bool = False
    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()


def view_of(model: type[V], body: Any) -> Result[V, Failure]:
    """Return a body as a view, or a failure when the body is of another form."""
    try:
        return Ok(model.model_validate(body))
    except ValidationError as exc:
        fault = exc.errors(include_url=False)[0]
        field = ".".join(str(part) for part in fault["loc"]) or "body"
        text = f"the host's answer is not understood: {field}: {fault['msg']}"
        return Error(Failure(ExitCode.INTERNAL, text, "Use --json, or a matching version."))


def views_of(model: type[V], body: Any, member: str) -> Result[list[V], Failure]:
    """Return the list in one member of a body as views."""
    found = body.get(member, []) if isinstance(body, dict) else []
    views: list[V] = []
    for one in found:
        view = view_of(model, one)
        if view.is_error():
            return Error(view.error)
        views.append(view.ok)
    return Ok(views)


def request_view(body: Any) -> Result[RequestView, Failure]:
    """Return the body of a request as a view."""
    return view_of(RequestView, body)


def request_path(request_id: str) -> str:
    """Return the path of a request on the callers' port."""
    return f"/v1/requests/{quote(request_id, safe='')}"
