"""Small questions about asyncio tasks."""

import asyncio


def is_cancelled_itself() -> bool:
    """Tell whether this task was cancelled, rather than the call that it waits for."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
