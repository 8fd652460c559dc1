"""`agateferry cancel`: cancel a request and show the stage that it had reached."""

from expression import Error, Result

from agateferry_cli.client import Client, ExitCode, Failure, Port
from agateferry_cli.client.client import Call
from agateferry_cli.client.views import request_path
from agateferry_cli.output import Output
from agateferry_cli.verbs.request_output import keep_ok, show_request
from agateferry_cli.verbs.run import run_verb


def cancel(request_id: str, *, callers: str = "", json: bool = False) -> int:
    """Cancel a request and show the stage that it had reached; a repeated cancel changes nothing.

    :param request_id: id that submit printed
    :param callers: callers' addresses of entry hosts, IP:PORT with commas between
    :param json: print the request as JSON
    """
    output = Output(json)

    async def verb(client: Client) -> Result[ExitCode, Failure]:
        answer = await client.call(Call("DELETE", request_path(request_id)))
        if answer.is_error():
            return Error(answer.error)
        return show_request(output, answer.ok).map(keep_ok)

    return run_verb(Port.CALLERS, callers, output, verb)
