"""Run a verb's coroutine against one port and return its exit code."""

import asyncio
from collections.abc import Awaitable, Callable

from expression import Error, Ok, Result

from agateferry_cli.client import Answer, Client, ExitCode, Failure, Port, resolve_addresses
from agateferry_cli.output import Output

STALE_COPY_NOTE = "the records plane is unreachable; this is the zone's copy, which may be behind"

Verb = Callable[[Client], Awaitable[Result[ExitCode, Failure]]]
AnswerPrinter = Callable[[Answer], Result[ExitCode, Failure]]


def run_verb(port: Port, option: str, output: Output, verb: Verb) -> int:
    """Run a verb with a client for a port, print its failure if any, and return the exit code."""
    addresses = resolve_addresses(port, option)
    if addresses.is_error():
        return output.failure(addresses.error)

    async def main() -> Result[ExitCode, Failure]:
        async with Client(addresses.ok) as client:
            return await verb(client)

    result = asyncio.run(main())
    return output.failure(result.error) if result.is_error() else result.ok


def run_get(port: Port, option: str, output: Output, path: str, shown: AnswerPrinter) -> int:
    """Get one path and print the answer: unchanged with `--json`, otherwise with `shown`."""

    async def verb(client: Client) -> Result[ExitCode, Failure]:
        answer = await client.get(path)
        if answer.is_error():
            return Error(answer.error)
        return show_answer(output, answer.ok, shown)

    return run_verb(port, option, output, verb)


def show_answer(output: Output, answer: Answer, shown: AnswerPrinter) -> Result[ExitCode, Failure]:
    """Print an answer as JSON or with `shown`, and a note where it may be out of date."""
    if answer.is_stale:
        output.note(STALE_COPY_NOTE)
    if output.as_json:
        output.json(answer.body)
        return Ok(ExitCode.OK)
    return shown(answer)
