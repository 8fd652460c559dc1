"""Heartbeats that a host forwards to the leader, several in one call.

A call between hosts costs the leader about as much processor time as a heartbeat by HTTP. With some
thousand workers that is more than a leader has, so hosts collect heartbeats for a moment.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from agateferry_core.clock import MS_PER_S
from agateferry_core.logs import EventLogger
from agateferry_core.tasks import spawn
from agateferry_jobs.calls import events, messages

BATCH_DELAY_MS = 150
"""How long a heartbeat waits for others; its worker gives up after one second."""
CHANGE_DELAY_MS = 20
"""The same for a heartbeat that changes what is known of its worker."""
HEARTBEAT_TIMEOUT_MS = 800
"""How long a host takes for a heartbeat at most, so that it replies before the worker gives up."""
BATCH_TIMEOUT_MS = HEARTBEAT_TIMEOUT_MS - BATCH_DELAY_MS
"""How long the leader's reply is waited for."""
MAX_CALLS_IN_FLIGHT = 2
"""A leader that is slow to register new workers must not get more and more calls meanwhile."""

SendCall = Callable[[messages.Call, int], Awaitable[messages.Reply]]


@dataclass(frozen=True, slots=True)
class _Waiting:
    heartbeat: messages.Heartbeat
    reply: asyncio.Future[messages.Reply]


class HeartbeatBatches:
    """Collect heartbeats and send them to the leader with `send_call`.

    A batch is sent as soon as the shortest wait of its heartbeats is over, while fewer than
    `MAX_CALLS_IN_FLIGHT` are in flight. A worker whose heartbeat waits for too long sends a new
    one, which takes its place.
    """

    def __init__(self, send_call: SendCall) -> None:
        self._send_call = send_call
        self._waiting: dict[str, _Waiting] = {}
        """By worker, its newest heartbeat."""
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._log_failure = EventLogger().on_exception(events.BATCH_FAILED)

    async def send(self, heartbeat: messages.Heartbeat, is_change: bool) -> messages.Reply:
        """Send a heartbeat with others; return `Done` once the leader has recorded it."""
        loop = asyncio.get_running_loop()
        waiting = _Waiting(heartbeat, loop.create_future())
        replaced = self._waiting.pop(heartbeat.worker.id, None)
        if replaced is not None:
            _resolve([replaced], messages.OutcomeUnknown("replaced by a newer heartbeat"))
        self._waiting[heartbeat.worker.id] = waiting
        self._schedule(loop, CHANGE_DELAY_MS if is_change else BATCH_DELAY_MS)
        return await waiting.reply

    def close(self) -> None:
        """Give up all heartbeats that have no reply yet."""
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        _resolve(self._take_waiting(), messages.OutcomeUnknown("this host stops"))

    def _schedule(self, loop: asyncio.AbstractEventLoop, delay_ms: int) -> None:
        due_s = loop.time() + delay_ms / MS_PER_S
        if self._timer is not None:
            if self._timer.when() <= due_s:
                return
            self._timer.cancel()
        self._timer = loop.call_at(due_s, self._send_batch)

    def _send_batch(self) -> None:
        self._timer = None
        if not self._waiting or len(self._tasks) >= MAX_CALLS_IN_FLIGHT:
            return
        spawn(self._send_all(self._take_waiting()), self._tasks, self._log_failure)

    def _take_waiting(self) -> list[_Waiting]:
        taken, self._waiting = self._waiting, {}
        return list(taken.values())

    async def _send_all(self, batch: list[_Waiting]) -> None:
        reply: messages.Reply = messages.OutcomeUnknown("not sent")
        try:
            call = messages.HeartbeatBatch(tuple(each.heartbeat for each in batch))
            reply = await self._send_call(call, BATCH_TIMEOUT_MS)
        finally:
            _resolve(batch, reply)
            if self._waiting and self._timer is None:
                self._schedule(asyncio.get_running_loop(), CHANGE_DELAY_MS)


def _resolve(batch: list[_Waiting], reply: messages.Reply) -> None:
    """Give each heartbeat that is still waited for its part of the leader's reply."""
    replies = reply.replies if isinstance(reply, messages.HeartbeatReplies) else ()
    for number, waiting in enumerate(batch):
        if not waiting.reply.done():
            waiting.reply.set_result(replies[number] if number < len(replies) else reply)
