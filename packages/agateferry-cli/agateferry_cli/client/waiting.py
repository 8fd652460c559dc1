"""Wait for the end of a request, through changes of hosts and leaders."""

import asyncio
from collections.abc import Callable

from expression import Error, Result

from agateferry_cli.client.client import Answer, Client
from agateferry_cli.client.failures import ExitCode, Failure
from agateferry_cli.client.views import RequestView, request_path, request_view
from agateferry_core.clock import Clock, SystemClock

HELD_WAIT_S = 5
POLL_PAUSE_MS = 250
UNREACHABLE_PAUSE_MS = 1_000
UNREACHABLE_GRACE_MS = 30_000
MS_PER_S = 1_000
PASSING = (ExitCode.UNREACHABLE, ExitCode.OUTCOME_UNKNOWN)

Shown = Callable[[RequestView], None]


async def wait_for_end(
    client: Client,
    request_id: str,
    timeout_s: int,
    shown: Shown,
    clock: Clock | None = None,
) -> Result[Answer, Failure]:
    """Return the request once it reached its end; show each view of it on the way.

    Hosts that do not answer are asked again for `UNREACHABLE_GRACE_MS` before this gives up. With a
    `timeout_s` of 0 there is no limit to the wait.
    """
    clock = clock or SystemClock()
    end_ms = clock.now_ms() + timeout_s * MS_PER_S if timeout_s else None
    answered_ms = clock.now_ms()
    while True:
        asked_ms = clock.now_ms()
        result = await client.get(request_path(request_id), wait_s=_held_s(asked_ms, end_ms))
        if result.is_ok():
            answered_ms = clock.now_ms()
            view = request_view(result.ok.body)
            if view.is_error():
                return Error(view.error)
            if view.ok.is_final:
                return result
            shown(view.ok)
        elif _gives_up(result.error, clock.now_ms() - answered_ms):
            return result
        if end_ms is not None and clock.now_ms() >= end_ms:
            return Error(_still_running(request_id, timeout_s))
        await _pause(result.is_ok(), clock.now_ms() - asked_ms)


def _held_s(now_ms: int, end_ms: int | None) -> int:
    if end_ms is None:
        return HELD_WAIT_S
    return max(1, min(HELD_WAIT_S, (end_ms - now_ms) // MS_PER_S))


def _gives_up(failure: Failure, silent_ms: int) -> bool:
    return failure.code not in PASSING or silent_ms > UNREACHABLE_GRACE_MS


async def _pause(answered: bool, took_ms: int) -> None:
    least_ms = POLL_PAUSE_MS if answered else UNREACHABLE_PAUSE_MS
    await asyncio.sleep(max(0, least_ms - took_ms) / MS_PER_S)


def _still_running(request_id: str, timeout_s: int) -> Failure:
    return Failure(
        ExitCode.STILL_RUNNING,
        f"{request_id} has not reached its end after {timeout_s} s",
        f"Go on waiting with: agateferry watch {request_id}",
        "still-running",
    )
