"""`agateferry workers`: list the workers of a zone."""

from expression import Result

from agateferry_cli.client import Answer, ExitCode, Failure, Port
from agateferry_cli.client.views import WorkerView, parse_views
from agateferry_cli.output import Output
from agateferry_cli.verbs.run import run_get

COLUMNS = (
    "worker",
    "zone",
    "rack",
    "state",
    "accelerators free",
    "slots free",
    "last seen ms",
    "health",
)


def workers(*, operators: str = "", json: bool = False) -> int:
    """List the workers of the called host's zone.

    :param operators: operators' addresses of entry hosts, IP:PORT with commas between
    :param json: print the workers as JSON
    """
    output = Output(json)

    def shown(answer: Answer) -> Result[ExitCode, Failure]:
        views = parse_views(WorkerView, answer.body, "workers")
        return views.map(lambda found: _show(output, found))

    return run_get(Port.OPERATORS, operators, output, "/v1/workers", shown)


def _show(output: Output, views: list[WorkerView]) -> ExitCode:
    rows = [
        (
            view.name,
            view.zone,
            view.rack,
            view.state,
            f"{view.accelerators_free}/{view.accelerators}",
            f"{view.slots_free}/{view.slots}",
            view.last_seen_ms,
            view.health,
        )
        for view in views
    ]
    output.table(COLUMNS, rows, "No worker has announced itself in this zone.")
    return ExitCode.OK
