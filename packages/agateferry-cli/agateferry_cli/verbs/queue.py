"""`agateferry queue`: list the requests that wait in a zone."""

from expression import Result

from agateferry_cli.client import Answer, ExitCode, Failure, Port
from agateferry_cli.client.views import QueuedView, parse_views
from agateferry_cli.output import Output
from agateferry_cli.verbs.run import run_get

COLUMNS = ("request", "team", "job", "urgency", "state", "waiting ms")


def queue(*, operators: str = "", json: bool = False) -> int:
    """List the requests that wait in the called host's zone.

    :param operators: operators' addresses of entry hosts, IP:PORT with commas between
    :param json: print the requests as JSON
    """
    output = Output(json)

    def shown(answer: Answer) -> Result[ExitCode, Failure]:
        views = parse_views(QueuedView, answer.body, "requests")
        return views.map(lambda found: _show(output, found))

    return run_get(Port.OPERATORS, operators, output, "/v1/queue", shown)


def _show(output: Output, views: list[QueuedView]) -> ExitCode:
    rows = [
        (view.id, view.team, view.job, view.urgency, view.state, view.waiting_ms) for view in views
    ]
    output.table(COLUMNS, rows, "No request waits in this zone.")
    return ExitCode.OK
