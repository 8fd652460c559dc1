"""The queue of messages to one peer."""

import asyncio
from collections import deque

from agateferry_state.replica.codec import Envelope
from agateferry_state.replica.metrics import MESSAGES_DROPPED
from agateferry_state.replication.messages import AppendRequest, SnapshotChunk

MAX_ENVELOPES = 1024
MAX_BYTES = 8 * 1024 * 1024
ENVELOPE_OVERHEAD_BYTES = 100


class Outbox:
    """Queue messages up to a limit of count and bytes; when full, drop the oldest heartbeat first.

    Without a heartbeat in the queue, the oldest message is dropped. The replication protocol
    resends lost messages, so a drop costs only time.
    """

    def __init__(self, max_envelopes: int = MAX_ENVELOPES, max_bytes: int = MAX_BYTES) -> None:
        self._max_envelopes = max_envelopes
        self._max_bytes = max_bytes
        self._waiting: deque[Envelope] = deque()
        self._bytes = 0
        self._signal = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of queued messages."""
        return len(self._waiting)

    def put(self, envelope: Envelope) -> None:
        """Add a message, dropping older ones while the queue is over a limit."""
        self._waiting.append(envelope)
        self._bytes += estimated_bytes(envelope)
        while len(self._waiting) > 1 and self._is_over_limit():
            self._drop_one()
        self._signal.set()

    def take(self, max_bytes: int) -> list[Envelope]:
        """Remove and return the oldest messages up to `max_bytes`, but at least one if any."""
        taken: list[Envelope] = []
        remaining_bytes = max_bytes
        while self._waiting and (not taken or estimated_bytes(self._waiting[0]) <= remaining_bytes):
            envelope = self._waiting.popleft()
            remaining_bytes -= estimated_bytes(envelope)
            self._bytes -= estimated_bytes(envelope)
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
        """Make `wait` return even if no message was added."""
        self._signal.set()

    async def wait(self) -> None:
        """Wait for a message or for `wake`."""
        await self._signal.wait()

    def _is_over_limit(self) -> bool:
        return len(self._waiting) > self._max_envelopes or self._bytes > self._max_bytes

    def _drop_one(self) -> None:
        older = (envelope for envelope in self._waiting if envelope.is_heartbeat)
        dropped = next(older, self._waiting[0])
        self._waiting.remove(dropped)
        self._bytes -= estimated_bytes(dropped)
        MESSAGES_DROPPED.labels("queue-full").inc()


def estimated_bytes(envelope: Envelope) -> int:
    """Estimate the encoded size of a message in bytes."""
    message = envelope.message
    if isinstance(message, AppendRequest):
        return ENVELOPE_OVERHEAD_BYTES + sum(len(entry.data) for entry in message.entries)
    if isinstance(message, SnapshotChunk):
        return ENVELOPE_OVERHEAD_BYTES + len(message.data)
    return ENVELOPE_OVERHEAD_BYTES
