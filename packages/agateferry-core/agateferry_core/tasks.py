"""Helpers for asyncio tasks."""

import asyncio


def is_current_task_cancelled() -> bool:
    """Return whether the running task was cancelled, rather than the call that it awaits.

    Both raise CancelledError in the task.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
