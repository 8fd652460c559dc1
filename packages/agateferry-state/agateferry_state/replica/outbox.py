"""The messages that wait for one peer."""

import asyncio
from collections import deque

from agateferry_state.replica.codec import Envelope
from agateferry_state.replica.metrics import MESSAGES_DROPPED
from agateferry_state.replication.messages import AppendRequest, SnapshotChunk

MAX_ENVELOPES = 1024
MAX_BYTES = 8 * 1024 * 1024
ENVELOPE_BYTES = 100


class Outbox:
    """Hold a bounded number of messages; when full, drop the oldest heartbeats first.

    Members repeat what was lost, so dropping costs time and nothing else.
    """

    def __init__(self, max_envelopes: int = MAX_ENVELOPES, max_bytes: int = MAX_BYTES) -> None:
        self._max_envelopes = max_envelopes
        self._max_bytes = max_bytes
        self._waiting: deque[Envelope] = deque()
        self._bytes = 0
        self._signal = asyncio.Event()

    def __len__(self) -> int:
        """Return how many messages wait."""
        return len(self._waiting)

    def put(self, envelope: Envelope) -> None:
        """Add a message, dropping older ones where there is no room."""
        self._waiting.append(envelope)
        self._bytes += size_of(envelope)
        while len(self._waiting) > 1 and self._is_over():
            self._drop_one()
        self._signal.set()

    def take(self, max_bytes: int) -> list[Envelope]:
        """Remove and return the oldest messages, at least one where there is one."""
        taken: list[Envelope] = []
        room = max_bytes
        while self._waiting and (not taken or size_of(self._waiting[0]) <= room):
            envelope = self._waiting.popleft()
            room -= size_of(envelope)
            self._bytes -= size_of(envelope)
            taken.append(envelope)
        if not self._waiting:
            self._signal.clear()
        return taken

    def clear(self, reason: str) -> None:
        """Drop all messages, counting them under `reason`."""
        MESSAGES_DROPPED.labels(reason).inc(len(self._waiting))
        self._waiting.clear()
        self._bytes = 0
        self._signal.clear()

    def wake(self) -> None:
        """Make `wait` return although nothing was added."""
        self._signal.set()

    async def wait(self) -> None:
        """Return once there is a message, or after `wake`."""
        await self._signal.wait()

    def _is_over(self) -> bool:
        return len(self._waiting) > self._max_envelopes or self._bytes > self._max_bytes

    def _drop_one(self) -> None:
        older = (envelope for envelope in self._waiting if envelope.is_heartbeat)
        dropped = next(older, self._waiting[0])
        self._waiting.remove(dropped)
        self._bytes -= size_of(dropped)
        MESSAGES_DROPPED.labels("queue-full").inc()


def size_of(envelope: Envelope) -> int:
    """Return about how many bytes a message takes."""
    message = envelope.message
    if isinstance(message, AppendRequest):
        return ENVELOPE_BYTES + sum(len(entry.data) for entry in message.entries)
    if isinstance(message, SnapshotChunk):
        return ENVELOPE_BYTES + len(message.data)
    return ENVELOPE_BYTES
