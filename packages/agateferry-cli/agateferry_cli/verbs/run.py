"""Run a verb's coroutine against one port and turn its outcome into an exit code."""

import asyncio
from collections.abc import Awaitable, Callable

from expression import Error, Ok, Result

from agateferry_cli.client import Answer, Client, ExitCode, Failure, Port, resolve_addresses
from agateferry_cli.output import Output

STALE_NOTE = "the records plane is out of reach; this is the zone's copy and may be behind"

Verb = Callable[[Client], Awaitable[Result[ExitCode, Failure]]]
Shown = Callable[[Answer], Result[ExitCode, Failure]]


def run_verb(port: Port, option: str, output: Output, verb: Verb) -> int:
    """Call a verb with a client for a port; return the exit code after printing a failure."""
    addresses = resolve_addresses(port, option)
    if addresses.is_error():
        return output.failure(addresses.error)

    async def main() -> Result[ExitCode, Failure]:
        async with Client(addresses.ok) as client:
            return await verb(client)

    result = asyncio.run(main())
    return output.failure(result.error) if result.is_error() else result.ok


def run_get(port: Port, option: str, output: Output, path: str, shown: Shown) -> int:
    """Read one path and print it: as it came with `--json`, else by `shown`."""

    async def verb(client: Client) -> Result[ExitCode, Failure]:
        answer = await client.get(path)
        if answer.is_error():
            return Error(answer.error)
        return show_answer(output, answer.ok, shown)

    return run_verb(port, option, output, verb)


def show_answer(output: Output, answer: Answer, shown: Shown) -> Result[ExitCode, Failure]:
    """Print an answer in the output's form."""
    if answer.is_stale:
        output.note(STALE_NOTE)
    if output.as_json:
        output.json(answer.body)
        return Ok(ExitCode.OK)
    return shown(answer)
