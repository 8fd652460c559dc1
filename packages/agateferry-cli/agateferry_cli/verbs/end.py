"""Print a request and choose the exit code that its state stands for."""

from expression import Error, Result

from agateferry_cli.client import Answer, Client, ExitCode, Failure, wait_for_end
from agateferry_cli.client.views import RequestView, request_view
from agateferry_cli.output import Output, ProgressLine

CODES = {
    "finished": ExitCode.OK,
    "cancelled": ExitCode.CANCELLED,
    "failed": ExitCode.REQUEST_FAILED,
    "refused": ExitCode.REFUSED,
}


def show_request(output: Output, answer: Answer) -> Result[RequestView, Failure]:
    """Print a request and return it as a view."""
    view = request_view(answer.body)
    if output.as_json:
        output.json(answer.body)
    elif view.is_ok():
        output.fields(_fields(view.ok))
    return view


async def show_end(
    client: Client, output: Output, request_id: str, timeout_s: int
) -> Result[ExitCode, Failure]:
    """Wait for a request's end with a progress line, print it and return its exit code."""
    progress = ProgressLine()
    try:
        answer = await wait_for_end(client, request_id, timeout_s, progress.show)
    finally:
        progress.clear()
    if answer.is_error():
        return Error(answer.error)
    return show_request(output, answer.ok).map(end_code)


def end_code(view: RequestView) -> ExitCode:
    """Return the exit code of a request that was waited for."""
    return CODES.get(view.state, ExitCode.STILL_RUNNING)


def keep_ok(view: RequestView) -> ExitCode:
    """Return OK whatever the state, for verbs that only ask."""
    return ExitCode.OK


def _fields(view: RequestView) -> dict[str, object]:
    fields = view.model_dump()
    if view.is_final:
        fields["progress"] = None
    return fields
