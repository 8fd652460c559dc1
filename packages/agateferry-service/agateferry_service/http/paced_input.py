"""Input that takes long to parse, in short slices between the other work of the event loop.

A body in chunks of one byte costs some hundred times the processor time of one in large chunks. Its
connections share a queue. Each turn parses one slice of one connection, and the pauses between the
slices are as long as the slices, so that other work has at least half of the processor.
"""

import asyncio
from collections import deque
from typing import Protocol

SLICE_BYTES = 4 * 1024


class PacedConnection(Protocol):
    """A connection with input that waits to be parsed."""

    def parse_kept(self, max_bytes: int) -> bool:
        """Parse up to `max_bytes` of the input; return whether more is waiting."""


class PacedInput:
    """Parse the waiting input of connections in turn."""

    def __init__(self) -> None:
        self._queue: deque[PacedConnection] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, conn: PacedConnection) -> None:
        """Queue a connection that has input waiting; it must not be queued already."""
        self._queue.append(conn)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(0, self._parse_slice)

    def _parse_slice(self) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        conn = self._queue.popleft()
        if conn.parse_kept(SLICE_BYTES):
            self._queue.append(conn)
        self._timer = None
        if self._queue:
            self._timer = loop.call_later(loop.time() - began_s, self._parse_slice)
