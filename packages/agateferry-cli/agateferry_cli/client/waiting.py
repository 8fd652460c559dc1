"""Wait for the end of a request, also while hosts stop and leaders change."""

import asyncio
from collections.abc import Callable

from expression import Error, Result

from agateferry_cli.client.client import Answer, Client
from agateferry_cli.client.failures import ExitCode, Failure
from agateferry_cli.client.views import RequestView, parse_request_view, request_path
from agateferry_core.clock import Clock, SystemClock

LONG_POLL_S = 5
MIN_POLL_INTERVAL_MS = 250
MIN_RETRY_INTERVAL_MS = 1_000
UNREACHABLE_TIMEOUT_MS = 30_000
MS_PER_S = 1_000
TRANSIENT_CODES = (ExitCode.UNREACHABLE, ExitCode.OUTCOME_UNKNOWN)

OnView = Callable[[RequestView], None]


async def wait_for_end(
    client: Client,
    request_id: str,
    timeout_s: int,
    on_view: OnView,
    clock: Clock | None = None,
) -> Result[Answer, Failure]:
    """Return the request when it has ended; pass each earlier view of it to `on_view`.

    Calls that fail are repeated; the wait ends with the last failure when no host has answered for
    `UNREACHABLE_TIMEOUT_MS`. A `timeout_s` of 0 means no limit.
    """
    clock = clock or SystemClock()
    wait_until_ms = clock.now_ms() + timeout_s * MS_PER_S if timeout_s else None
    last_answer_ms = clock.now_ms()
    while True:
        call_start_ms = clock.now_ms()
        result = await client.get(
            request_path(request_id), wait_s=_long_poll_s(call_start_ms, wait_until_ms)
        )
        if result.is_ok():
            last_answer_ms = clock.now_ms()
            view = parse_request_view(result.ok.body)
            if view.is_error():
                return Error(view.error)
            if view.ok.is_final:
                return result
            on_view(view.ok)
        elif _is_final(result.error, clock.now_ms() - last_answer_ms):
            return result
        if wait_until_ms is not None and clock.now_ms() >= wait_until_ms:
            return Error(_still_running(request_id, timeout_s))
        await _pause_before_next_call(result.is_ok(), clock.now_ms() - call_start_ms)


def _long_poll_s(now_ms: int, wait_until_ms: int | None) -> int:
    if wait_until_ms is None:
        return LONG_POLL_S
    return max(1, min(LONG_POLL_S, (wait_until_ms - now_ms) // MS_PER_S))


def _is_final(failure: Failure, silent_ms: int) -> bool:
    return failure.code not in TRANSIENT_CODES or silent_ms > UNREACHABLE_TIMEOUT_MS


async def _pause_before_next_call(was_answered: bool, call_duration_ms: int) -> None:
    min_interval_ms = MIN_POLL_INTERVAL_MS if was_answered else MIN_RETRY_INTERVAL_MS
    await asyncio.sleep(max(0, min_interval_ms - call_duration_ms) / MS_PER_S)


def _still_running(request_id: str, timeout_s: int) -> Failure:
    return Failure(
        ExitCode.STILL_RUNNING,
        f"{request_id} has not ended after {timeout_s} s",
        f"Continue to wait with: agateferry watch {request_id}",
        "still-running",
    )
