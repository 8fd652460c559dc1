"""Background tasks that end with the leader that started them."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class TaskGroup:
    """Keep tasks until they are done, and cancel the remaining ones on request."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task; an exception in it goes to the event loop's exception handler."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    async def cancel_all(self) -> None:
        """Cancel the remaining tasks and wait for them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        context = {"message": "a task failed", "exception": task.exception(), "task": task}
        task.get_loop().call_exception_handler(context)
