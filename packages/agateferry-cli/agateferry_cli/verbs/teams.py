"""`agateferry teams`: list the guarantee and the use of each team in a zone."""

from expression import Result

from agateferry_cli.client import Answer, ExitCode, Failure, Port
from agateferry_cli.client.views import TeamView, parse_views
from agateferry_cli.output import Output
from agateferry_cli.verbs.run import run_get

COLUMNS = ("team", "guarantee", "accelerators held", "running", "queued", "at risk")


def teams(*, operators: str = "", json: bool = False) -> int:
    """List the teams, their guarantees and their use of the called host's zone.

    :param operators: operators' addresses of entry hosts, IP:PORT with commas between
    :param json: print the teams as JSON
    """
    output = Output(json)

    def shown(answer: Answer) -> Result[ExitCode, Failure]:
        views = parse_views(TeamView, answer.body, "teams")
        return views.map(lambda found: _show(output, found))

    return run_get(Port.OPERATORS, operators, output, "/v1/teams", shown)


def _show(output: Output, views: list[TeamView]) -> ExitCode:
    rows = [
        (
            view.name,
            view.guarantee,
            view.accelerators_held,
            view.running,
            view.queued,
            view.at_risk,
        )
        for view in views
    ]
    output.table(COLUMNS, rows, "There is no team; add one with: agateferry records put team")
    return ExitCode.OK
