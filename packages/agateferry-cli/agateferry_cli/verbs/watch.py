"""`agateferry watch`: wait for the end of a request."""

from expression import Result

from agateferry_cli.client import Client, ExitCode, Failure, Port
from agateferry_cli.output import Output
from agateferry_cli.verbs.request_output import show_end
from agateferry_cli.verbs.run import run_verb


def watch(request_id: str, *, timeout_s: int = 0, callers: str = "", json: bool = False) -> int:
    """Wait for the end of a request and print it.

    :param request_id: id that submit printed
    :param timeout_s: stop waiting after this many seconds; 0: no limit
    :param callers: callers' addresses of entry hosts, IP:PORT with commas between
    :param json: print the request as JSON
    """
    output = Output(json)

    async def verb(client: Client) -> Result[ExitCode, Failure]:
        return await show_end(client, output, request_id, timeout_s)

    return run_verb(Port.CALLERS, callers, output, verb)
