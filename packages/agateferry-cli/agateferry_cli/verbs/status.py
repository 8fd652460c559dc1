"""`agateferry status`: show the current state of a request."""

from expression import Error, Result

from agateferry_cli.client import Client, ExitCode, Failure, Port
from agateferry_cli.client.views import request_path
from agateferry_cli.output import Output
from agateferry_cli.verbs.request_output import keep_ok, show_request
from agateferry_cli.verbs.run import run_verb


def status(request_id: str, *, callers: str = "", json: bool = False) -> int:
    """Show the current state of a request.

    :param request_id: id that submit printed
    :param callers: callers' addresses of entry hosts, IP:PORT with commas between
    :param json: print the request as JSON
    """
    output = Output(json)

    async def verb(client: Client) -> Result[ExitCode, Failure]:
        answer = await client.get(request_path(request_id))
        if answer.is_error():
            return Error(answer.error)
        return show_request(output, answer.ok).map(keep_ok)

    return run_verb(Port.CALLERS, callers, output, verb)
