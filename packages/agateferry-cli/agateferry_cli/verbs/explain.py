"""`agateferry explain`: show why a request waits."""

from expression import Result

from agateferry_cli.client import Answer, ExitCode, Failure, Port
from agateferry_cli.client.views import ExplanationView, parse_view, request_path
from agateferry_cli.output import Output
from agateferry_cli.verbs.run import run_get


def explain(request_id: str, *, operators: str = "", json: bool = False) -> int:
    """Show why a request waits and what would let it start.

    :param request_id: id that submit printed
    :param operators: operators' addresses of entry hosts, IP:PORT with commas between
    :param json: print the explanation as JSON
    """
    output = Output(json)

    def shown(answer: Answer) -> Result[ExitCode, Failure]:
        return parse_view(ExplanationView, answer.body).map(lambda view: _show(output, view))

    path = f"{request_path(request_id)}/explain"
    return run_get(Port.OPERATORS, operators, output, path, shown)


def _show(output: Output, view: ExplanationView) -> ExitCode:
    output.fields(
        {
            "request": view.request_id,
            "state": view.state,
            "waits for": view.waits_for,
            "would start if": view.would_start_if,
        }
    )
    for detail in view.details:
        output.line(f"  {detail}")
    return ExitCode.OK
