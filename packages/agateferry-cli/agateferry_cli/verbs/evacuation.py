"""`agateferry evacuate`, `readmit` and `evacuations`: stop new work in a zone, allow it again."""

from datetime import UTC, datetime
from getpass import getuser
from urllib.parse import quote

from expression import Error, Ok, Result

from agateferry_cli.client import Answer, Client, ExitCode, Failure, Port
from agateferry_cli.client.client import Call
from agateferry_cli.client.views import EvacuationView, parse_view, parse_views
from agateferry_cli.output import Output
from agateferry_cli.verbs.run import run_get, run_verb

PATH = "/v1/evacuations"
COLUMNS = ("zone", "since", "requested by", "in force", "running", "queued")
UNKNOWN = "unknown"
MS_PER_S = 1_000


def evacuate(
    zone: str, *, requested_by: str | None = None, operators: str = "", json: bool = False
) -> int:
    """Evacuate a zone: nothing new starts there, and what runs goes on; again changes nothing.

    :param zone: name of the zone
    :param requested_by: who asks for it, by default the user of this terminal
    :param operators: operators' addresses of entry hosts, IP:PORT with commas between
    :param json: print the evacuation as JSON
    """
    return _change("POST", zone, requested_by, operators, Output(json))


def readmit(
    zone: str, *, requested_by: str | None = None, operators: str = "", json: bool = False
) -> int:
    """Let work start in an evacuated zone again; readmitting again changes nothing.

    :param zone: name of the zone
    :param requested_by: who asks for it, by default the user of this terminal
    :param operators: operators' addresses of entry hosts, IP:PORT with commas between
    :param json: print the zone's state as JSON
    """
    return _change("DELETE", zone, requested_by, operators, Output(json))


def evacuations(*, operators: str = "", json: bool = False) -> int:
    """List the evacuated zones: since when, who asked for it, and what still runs there.

    :param operators: operators' addresses of entry hosts, IP:PORT with commas between
    :param json: print the evacuations as JSON
    """
    output = Output(json)

    def shown(answer: Answer) -> Result[ExitCode, Failure]:
        views = parse_views(EvacuationView, answer.body, "evacuations")
        return views.map(lambda found: _show_list(output, found))

    return run_get(Port.OPERATORS, operators, output, PATH, shown)


def _change(
    method: str, zone: str, requested_by: str | None, operators: str, output: Output
) -> int:
    body = {"requested_by": _user() if requested_by is None else requested_by}

    async def verb(client: Client) -> Result[ExitCode, Failure]:
        answer = await client.call(Call(method, f"{PATH}/{quote(zone, safe='')}", body))
        if answer.is_error():
            return Error(answer.error)
        if output.as_json:
            output.json(answer.ok.body)
            return Ok(ExitCode.OK)
        return parse_view(EvacuationView, answer.ok.body).map(lambda view: _show(output, view))

    return run_verb(Port.OPERATORS, operators, output, verb)


def _show(output: Output, view: EvacuationView) -> ExitCode:
    again = "" if view.changed else " already"
    if not view.evacuated:
        output.line(f"{view.zone} is{again} readmitted: work may start there")
        return ExitCode.OK
    by = f", requested by {view.requested_by}" if view.requested_by else ""
    output.line(f"{view.zone} is{again} evacuated since {_time(view.since_ms)}{by}")
    output.line("See what still runs there with: agateferry evacuations")
    return ExitCode.OK


def _show_list(output: Output, views: list[EvacuationView]) -> ExitCode:
    rows = [
        (
            view.zone,
            _time(view.since_ms),
            view.requested_by,
            UNKNOWN if view.in_force is None else view.in_force,
            UNKNOWN if view.running is None else view.running,
            UNKNOWN if view.queued is None else view.queued,
        )
        for view in views
    ]
    output.table(COLUMNS, rows, "No zone is evacuated.")
    return ExitCode.OK


def _time(wall_ms: int) -> str:
    return datetime.fromtimestamp(wall_ms / MS_PER_S, UTC).isoformat(timespec="seconds")


def _user() -> str:
    """Return the name of the user, or nothing, for which a host puts the caller's address."""
    try:
        return getuser()
    except (KeyError, OSError):
        return ""
