"""`agateferry submit`: submit a request, with safe retries where the reply is lost.

Every submit carries an idempotency key, so a repeated command with the same `--key` does not submit
a second request. The key is printed whenever the outcome is unknown.
"""

import asyncio
import sys
import uuid
from dataclasses import replace
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from agateferry_cli.client import Answer, Client, ExitCode, Failure, Port
from agateferry_cli.client.client import Call
from agateferry_cli.client.views import parse_request_view
from agateferry_cli.output import Output
from agateferry_cli.verbs.request_output import end_code, show_end, show_request
from agateferry_cli.verbs.run import run_verb

SCHEMA = "v1"
MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.5
STANDARD_INPUT = Path("-")
UNCERTAIN_CODES = (ExitCode.UNREACHABLE, ExitCode.OUTCOME_UNKNOWN)
PERSISTENT_REASONS = ("zone-unreachable",)


def submit(
    job: str,
    *,
    team: str,
    payload: str = "",
    payload_file: Path | None = None,
    zone: str | None = None,
    deadline_ms: int | None = None,
    run_ms: int | None = None,
    members: int | None = None,
    accelerators: int | None = None,
    cpu_cores: int | None = None,
    memory_mb: int | None = None,
    adjacency: str | None = None,
    key: str | None = None,
    wait: bool = False,
    timeout_s: int = 0,
    callers: str = "",
    json: bool = False,
) -> int:
    """Submit a request for a job; print its id, or with --wait its answer.

    :param job: name of a job record
    :param team: team for which it runs
    :param payload: text that is passed to the worker
    :param payload_file: read the payload from this file; - is standard input
    :param zone: availability zone; default: any
    :param deadline_ms: time from now after which an answer is useless
    :param run_ms: expected run time
    :param members: number of tasks in the gang
    :param accelerators: accelerators of each member
    :param cpu_cores: processor cores of each member
    :param memory_mb: memory of each member
    :param adjacency: where the members are placed together: any, rack or worker
    :param key: idempotency key; default: a new one
    :param wait: wait for the end of the request and print it
    :param timeout_s: stop waiting after this many seconds; 0: no limit
    :param callers: callers' addresses of entry hosts, IP:PORT with commas between
    :param json: print the request as JSON
    """
    output = Output(json)
    text = _read_payload(payload, payload_file)
    if text.is_error():
        return output.failure(text.error)
    demand = _without_none(
        members=members,
        accelerators=accelerators,
        cpu_cores=cpu_cores,
        memory_mb=memory_mb,
        adjacency=adjacency,
    )
    body = {"schema": SCHEMA, "team": team, "job": job, "payload": text.ok} | _without_none(
        zone=zone, deadline_ms=deadline_ms, declared_run_ms=run_ms, demand=demand or None
    )
    idempotency_key = key or uuid.uuid4().hex

    async def verb(client: Client) -> Result[ExitCode, Failure]:
        answer = await send(client, body, idempotency_key)
        if answer.is_error():
            return Error(answer.error)
        return await _show_result(client, output, answer.ok, wait, timeout_s)

    return run_verb(Port.CALLERS, callers, output, verb)


async def send(client: Client, body: dict[str, Any], key: str) -> Result[Answer, Failure]:
    """Send a request until its outcome is known, at most `MAX_ATTEMPTS` times with the same key."""
    call = Call("POST", "/v1/requests", body, {"Idempotency-Key": key})
    result = await client.call(call)
    for attempt in range(1, MAX_ATTEMPTS):
        if result.is_ok() or not _is_retryable(result.error):
            return result
        await asyncio.sleep(RETRY_PAUSE_S * attempt)
        result = await client.call(call)
    return result.map_error(lambda failure: _advise_with_key(failure, key))


def _is_retryable(failure: Failure) -> bool:
    return failure.code in UNCERTAIN_CODES and failure.reason not in PERSISTENT_REASONS


def _advise_with_key(failure: Failure, key: str) -> Failure:
    if failure.code not in UNCERTAIN_CODES or failure.details.get("run") == "not-run":
        return failure
    advice = f"{failure.advice} It may have been accepted; repeat the command with --key {key}"
    return replace(failure, advice=advice.strip())


async def _show_result(
    client: Client, output: Output, answer: Answer, wait: bool, timeout_s: int
) -> Result[ExitCode, Failure]:
    view = parse_request_view(answer.body)
    if view.is_error():
        return Error(view.error)
    if view.ok.is_final:
        return show_request(output, answer).map(end_code)
    if wait:
        return await show_end(client, output, view.ok.id, timeout_s)
    return show_request(output, answer).map(lambda _: ExitCode.OK)


def _read_payload(text: str, file: Path | None) -> Result[str, Failure]:
    if file is None:
        return Ok(text)
    if text:
        return Error(Failure(ExitCode.USAGE, "--payload and --payload-file are both given"))
    try:
        return Ok(sys.stdin.read() if file == STANDARD_INPUT else file.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        advice = "Name a readable file of UTF-8 text, or - for standard input."
        return Error(Failure(ExitCode.USAGE, f"--payload-file {file}: {exc}", advice))


def _without_none(**fields: Any) -> dict[str, Any]:
    return {name: value for name, value in fields.items() if value is not None}
