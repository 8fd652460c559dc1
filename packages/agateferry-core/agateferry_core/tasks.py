"""Helpers for asyncio tasks."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from agateferry_core.clock import MS_PER_S


def is_current_task_cancelled() -> bool:
    """Return whether the running task was cancelled, rather than the call that it awaits.

    Both raise CancelledError in the task.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def spawn(
    coro: Coroutine[Any, Any, Any],
    running: set[asyncio.Task[Any]],
    on_error: Callable[[BaseException], None],
) -> None:
    """Run a background task, kept in `running` until it ends; an exception goes to `on_error`."""

    def on_done(task: asyncio.Task[Any]) -> None:
        running.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            on_error(exc)

    task = asyncio.get_running_loop().create_task(coro)
    running.add(task)
    task.add_done_callback(on_done)


async def repeat(
    step: Callable[[], Awaitable[None]], interval_ms: int, on_error: Callable[[Exception], None]
) -> None:
    """Run `step` with pauses of `interval_ms` until cancelled.

    An exception is passed to `on_error`, and the next step follows as usual: a process goes on with
    its periodic work whatever one message made of it.
    """
    while True:
        try:
            await step()
        except Exception as exc:
            on_error(exc)
        await asyncio.sleep(interval_ms / MS_PER_S)


async def observe_loop_delay(observe: Callable[[float], None], interval_ms: int) -> None:
    """Report each `interval_ms` by how many seconds the event loop wakes a task too late.

    That is how long other work holds the loop, so that calls, polls and heartbeats wait for it.
    """
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + interval_ms / MS_PER_S
        await asyncio.sleep(interval_ms / MS_PER_S)
        observe(max(0.0, loop.time() - due_s))
