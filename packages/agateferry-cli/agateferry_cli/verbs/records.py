"""`agateferry records get`, `list`, `history` and `status`: read the operators' records."""

from typing import Any
from urllib.parse import quote

from expression import Error, Ok, Result

from agateferry_cli.client import Answer, ExitCode, Failure, Port
from agateferry_cli.client.views import RecordsStatusView, RecordView, parse_view, parse_views
from agateferry_cli.output import Output
from agateferry_cli.verbs.run import run_get

COLUMNS = ("kind", "name", "version", "revision", "schema", "content")
BEHIND = "behind"
IN_FORCE = "in force"
UNREACHABLE = "unreachable"


def get(
    kind: str, name: str, *, schema: str = "v2", operators: str = "", json: bool = False
) -> int:
    """Show the current version of a record.

    :param kind: team, job, config or evacuation
    :param name: name of the record
    :param schema: form of the content: v1 or v2
    :param operators: operators' addresses of entry hosts, IP:PORT with commas between
    :param json: print the record as JSON, which records put accepts
    """
    output = Output(json)

    def shown(answer: Answer) -> Result[ExitCode, Failure]:
        return parse_view(RecordView, answer.body).map(lambda view: _show_record(output, view))

    path = f"{record_path(kind, name)}?schema={quote(schema)}"
    return run_get(Port.OPERATORS, operators, output, path, shown)


def list_(kind: str, *, schema: str = "v2", operators: str = "", json: bool = False) -> int:
    """List all records of a kind.

    :param kind: team, job, config or evacuation
    :param schema: form of the contents: v1 or v2
    :param operators: operators' addresses of entry hosts, IP:PORT with commas between
    :param json: print the records as JSON
    """
    path = f"/v1/records/{quote(kind, safe='')}?schema={quote(schema)}"
    empty = f"There are no records of kind {kind}."
    return _show_records(operators, Output(json), path, "records", empty)


def history(
    kind: str, name: str, *, schema: str = "v2", operators: str = "", json: bool = False
) -> int:
    """List the versions of a record that are still stored, oldest first.

    :param kind: team, job, config or evacuation
    :param name: name of the record
    :param schema: form of the contents: v1 or v2
    :param operators: operators' addresses of entry hosts, IP:PORT with commas between
    :param json: print the versions as JSON
    """
    path = f"{record_path(kind, name)}/history?schema={quote(schema)}"
    empty = f"There is no {kind} {name}."
    return _show_records(operators, Output(json), path, "versions", empty)


def status(*, operators: str = "", json: bool = False) -> int:
    """Show the revision of the records that is in force on each host.

    :param operators: operators' addresses of entry hosts, IP:PORT with commas between
    :param json: print the status as JSON
    """
    output = Output(json)

    def shown(answer: Answer) -> Result[ExitCode, Failure]:
        return parse_view(RecordsStatusView, answer.body).map(
            lambda view: _show_status(output, view)
        )

    return run_get(Port.OPERATORS, operators, output, "/v1/records-status", shown)


def record_path(kind: str, name: str) -> str:
    """Return the path of a record on the operators' port."""
    return f"/v1/records/{quote(kind, safe='')}/{quote(name, safe='')}"


def _show_records(operators: str, output: Output, path: str, key: str, empty: str) -> int:
    def shown(answer: Answer) -> Result[ExitCode, Failure]:
        views = parse_views(RecordView, answer.body, key)
        if views.is_error():
            return Error(views.error)
        output.table(COLUMNS, [_row(view) for view in views.ok], empty)
        return Ok(ExitCode.OK)

    return run_get(Port.OPERATORS, operators, output, path, shown)


def _row(view: RecordView) -> tuple[Any, ...]:
    return (
        view.kind,
        view.name,
        view.version,
        view.revision,
        view.shown_schema,
        view.content,
    )


def _show_record(output: Output, view: RecordView) -> ExitCode:
    output.fields(dict(zip(COLUMNS, _row(view), strict=True)))
    return ExitCode.OK


def _show_status(output: Output, view: RecordsStatusView) -> ExitCode:
    rows = []
    for host in view.hosts:
        state = IN_FORCE if host.revision == view.newest else BEHIND
        state = state if host.reachable else UNREACHABLE
        rows.append((host.host, host.zone, host.revision, state))
    output.table(("host", "zone", "revision", "state"), rows, "No host is known.")
    output.line(f"newest revision: {view.newest}")
    return ExitCode.OK
