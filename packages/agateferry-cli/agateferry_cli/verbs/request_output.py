"""Print a request, wait for its end and return the exit code for its state."""

from expression import Error, Result

from agateferry_cli.client import Answer, Client, ExitCode, Failure, wait_for_end
from agateferry_cli.client.views import RequestView, parse_request_view
from agateferry_cli.output import Output, ProgressLine

EXIT_CODES_BY_STATE = {
    "finished": ExitCode.OK,
    "cancelled": ExitCode.CANCELLED,
    "failed": ExitCode.REQUEST_FAILED,
    "refused": ExitCode.REFUSED,
}


def show_request(output: Output, answer: Answer) -> Result[RequestView, Failure]:
    """Print a request and return it as a view."""
    view = parse_request_view(answer.body)
    if output.as_json:
        output.json(answer.body)
    elif view.is_ok():
        output.fields(_fields(view.ok))
    return view


async def show_end(
    client: Client, output: Output, request_id: str, timeout_s: int
) -> Result[ExitCode, Failure]:
    """Wait for the end of a request with a progress line; print it and return its exit code."""
    progress = ProgressLine()
    try:
        answer = await wait_for_end(client, request_id, timeout_s, progress.show)
    finally:
        progress.clear()
    if answer.is_error():
        return Error(answer.error)
    return show_request(output, answer.ok).map(end_code)


def end_code(view: RequestView) -> ExitCode:
    """Return the exit code for the state of a request, for verbs that wait for its end."""
    return EXIT_CODES_BY_STATE.get(view.state, ExitCode.STILL_RUNNING)


def keep_ok(view: RequestView) -> ExitCode:
    """Return OK whatever the state, for verbs that only show a request."""
    return ExitCode.OK


def _fields(view: RequestView) -> dict[str, object]:
    fields = view.model_dump()
    if view.is_final:
        fields["progress"] = None
    return fields
