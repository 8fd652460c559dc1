"""Callers that wait until a request ends."""

import asyncio
from typing import Any

from agateferry_service.requests import CommandResult, Request
from agateferry_service.rpc import commands_pb2 as pb


class Waiters:
    """Wake callers when the request that they wait for has ended.

    It listens to the state machine, so a caller never learns of an end that is not committed.
    """

    def __init__(self) -> None:
        self._events: dict[str, asyncio.Event] = {}
        self._counts: dict[str, int] = {}

    def on_applied(self, command: pb.Command, result: Any) -> None:
        """Wake the waiters of a request that an applied command has ended."""
        if not isinstance(result, CommandResult) or result.request is None:
            return
        event = self._events.get(result.request.id)
        if event is not None and result.request.ended:
            event.set()

    async def wait_until_ended(self, request: Request, wait_ms: int) -> None:
        """Return when the request has ended, or after `wait_ms` milliseconds."""
        if request.ended or wait_ms <= 0:
            return
        event = self._events.setdefault(request.id, asyncio.Event())
        self._counts[request.id] = self._counts.get(request.id, 0) + 1
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await event.wait()
        except TimeoutError:
            return
        finally:
            self._remove_waiter(request.id)

    def wake_all(self) -> None:
        """Wake all waiters, because this host no longer leads and cannot learn the end."""
        for event in self._events.values():
            event.set()

    def _remove_waiter(self, request_id: str) -> None:
        self._counts[request_id] -= 1
        if self._counts[request_id] == 0:
            del self._counts[request_id]
            del self._events[request_id]
