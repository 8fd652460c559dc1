"""`agateferry cell status`: show the replicated logs of the zones."""

from expression import Result

from agateferry_cli.client import Answer, ExitCode, Failure, Port
from agateferry_cli.client.views import CellView, LogView, MemberView, RecordsPlaneView, parse_views
from agateferry_cli.output import Output
from agateferry_cli.verbs.run import run_get

COLUMNS = (
    "zone",
    "host",
    "role",
    "term",
    "leader",
    "members",
    "records plane",
    "revision",
    "log",
    "records log",
)

LEADER = "leader"
NO_DISK = "no disk"
CATCHING_UP = "catches up"


def status(*, operators: str = "", json: bool = False) -> int:
    """Show the cell of each zone as each of its hosts sees it.

    :param operators: operators' addresses of entry hosts, IP:PORT with commas between
    :param json: print the cells as JSON
    """
    output = Output(json)

    def shown(answer: Answer) -> Result[ExitCode, Failure]:
        views = parse_views(CellView, answer.body, "hosts")
        return views.map(lambda found: _show(output, found))

    return run_get(Port.OPERATORS, operators, output, "/v1/cells", shown)


def _show(output: Output, views: list[CellView]) -> ExitCode:
    ordered = sorted(views, key=lambda view: (view.zone, view.host))
    output.table(COLUMNS, [_row(view) for view in ordered], "No host answers.")
    return ExitCode.OK


def _row(view: CellView) -> tuple[object, ...]:
    if not view.reachable:
        return (view.zone, view.host, "unreachable", *[None] * (len(COLUMNS) - 3))
    members = ", ".join(_member(member) for member in view.members)
    return (
        view.zone,
        view.host,
        view.role,
        view.term,
        view.leader or "none",
        members,
        _records_plane(view.records),
        view.records.revision,
        _log_end(view.log),
        _log_end(view.records.log),
    )


def _log_end(log: LogView | None) -> str | None:
    return f"{log.term}/{log.index}" if log is not None else None


def _records_plane(records: RecordsPlaneView) -> str:
    if not records.role:
        return "no voter"
    if records.role == LEADER:
        return LEADER
    return f"{records.role} of {records.leader}" if records.leader else "no leader"


def _member(member: MemberView) -> str:
    notes = ([] if member.disk else [NO_DISK]) + ([] if member.voter else [CATCHING_UP])
    return f"{member.host} ({', '.join(notes)})" if notes else member.host
