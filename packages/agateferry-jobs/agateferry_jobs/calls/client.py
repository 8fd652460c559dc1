"""The client that finds the leader of the cell and retries a call until a reply or the timeout.

Every host of the cell names the leader. A call without a reply in time is retried at another host
and over a new connection, since an old connection may stay silent permanently while new ones work.
"""

import asyncio
import secrets
from collections.abc import Iterable

import grpc
import msgspec

from agateferry_core.clock import MS_PER_S, Clock
from agateferry_core.logs import EventLogger
from agateferry_core.tasks import is_current_task_cancelled
from agateferry_jobs import metrics
from agateferry_jobs.calls import events, messages
from agateferry_jobs.rpc import leader_pb2 as pb
from agateferry_jobs.rpc import leader_pb2_grpc as rpc

ATTEMPT_TIMEOUT_MS = 700
"""A leader replies in a few ms when its disk is fast; no reply within this time is a fault."""
FIRST_ATTEMPT_TIMEOUT_MS = 350
"""The same for a call's first attempt where no reply came from that host for `RECENT_REPLY_MS`.

Its connection may be silent for good.
"""
RECENT_REPLY_MS = 2_000
RETRY_DELAY_MS = 60
"""The pause between two attempts while no leader is known."""
CHANNEL_CLOSE_DELAY_MS = 2 * ATTEMPT_TIMEOUT_MS
"""A replaced channel is closed after this time, longer than any call still on it may take."""
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 500
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
CALL_ID_BYTES = 8
READING_CALLS = (
    messages.GetStatus,
    messages.ReadManifest,
    messages.ReadEvacuations,
    messages.Ping,
)
REJECTIONS = (
    messages.InvalidApiKey,
    messages.UnknownQueue,
    messages.Invalid,
    messages.Refused,
)
CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", RECONNECT_MIN_MS),
    ("grpc.min_reconnect_backoff_ms", ATTEMPT_TIMEOUT_MS),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_MAX_MS),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
)


class LeaderClient:
    """Send calls to the leader of the cell, whichever host that is."""

    def __init__(self, clock: Clock, port: int) -> None:
        self._clock = clock
        self._port = port
        self._hosts: list[str] = []
        self._leader: str | None = None
        self._host_index = 0
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._closing_tasks: set[asyncio.Task[None]] = set()
        self._failing_hosts: set[str] = set()
        self._call_reply_ms: dict[str, int] = {}
        """By host, when a call last got a reply."""
        self._log = EventLogger()
        self.last_reply_ms: int | None = None
        """When the leader last replied, by the monotonic clock that includes suspended time."""

    @property
    def hosts(self) -> tuple[str, ...]:
        """Return the known hosts of the cell."""
        return tuple(self._hosts)

    @property
    def leader(self) -> str | None:
        """Return the host that is believed to lead, if any."""
        return self._leader

    def add_hosts(self, hosts: Iterable[str]) -> None:
        """Append hosts of the cell to the known ones, the newest last."""
        for host in hosts:
            if host not in self._hosts:
                self._hosts.append(host)

    def record_pong(self, host: str, envelope: messages.ReplyEnvelope, sent_ms: int) -> None:
        """Record a host's answer to a ping that was sent at `sent_ms`."""
        self._prepend_hosts(envelope.hosts)
        match envelope.reply:
            case messages.Done():
                self._leader = host
                self.last_reply_ms = max(self.last_reply_ms or 0, sent_ms)
            case messages.NotLeader(leader) if host == self._leader:
                self._leader = leader

    async def call(self, call: messages.Call, timeout_ms: int) -> messages.Reply:
        """Retry until the leader replies or `timeout_ms` is over.

        Then return `OutcomeUnknown` if an attempt may have had its effect, else `Refused`. A
        rejection tells nothing of an earlier attempt, so it becomes `OutcomeUnknown` too after one
        that may have had its effect.
        """
        if isinstance(call, messages.Submit):
            call = msgspec.structs.replace(call, call_id=secrets.token_hex(CALL_ID_BYTES))
        deadline_ms = self._clock.now_ms() + timeout_ms
        may_have_had_effect = False
        is_first_attempt = True
        while True:
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                break
            host = self._choose_host()
            attempt_ms = self._attempt_timeout_ms(host, is_first_attempt)
            reply = (
                await self._attempt(host, call, min(attempt_ms, left_ms))
                if host
                else messages.NotLeader()
            )
            is_first_attempt = False
            match reply:
                case messages.NotLeader(leader):
                    metrics.CALL_RETRIES.labels("not-leader").inc()
                    await self._on_not_leader(host, leader)
                case messages.OutcomeUnknown(reason):
                    metrics.CALL_RETRIES.labels(reason).inc()
                    may_have_had_effect = True
                    self._leader = None
                    await asyncio.sleep(RETRY_DELAY_MS / MS_PER_S)
                case _:
                    self._leader = host
                    self.last_reply_ms = self._clock.now_ms()
                    if may_have_had_effect and _is_rejected(call, reply):
                        return self._unknown_after_rejection(host, call, reply)
                    return reply
        if may_have_had_effect:
            return messages.OutcomeUnknown("no reply in time")
        return messages.Refused("no leader", 0)

    async def close(self) -> None:
        """Close all connections."""
        for task in list(self._closing_tasks):
            task.cancel()
        for channel in self._channels.values():
            await channel.close(grace=None)
        self._channels.clear()

    def _attempt_timeout_ms(self, host: str | None, is_first: bool) -> int:
        """Return the time for an attempt; a slow leader has the full time from the second on."""
        replied_ms = self._call_reply_ms.get(host or "")
        now_ms = self._clock.now_ms()
        has_replied_recently = replied_ms is not None and now_ms - replied_ms < RECENT_REPLY_MS
        if is_first and not has_replied_recently:
            return FIRST_ATTEMPT_TIMEOUT_MS
        return ATTEMPT_TIMEOUT_MS

    def _choose_host(self) -> str | None:
        if self._leader is not None:
            return self._leader
        if not self._hosts:
            return None
        self._host_index += 1
        return self._hosts[self._host_index % len(self._hosts)]

    async def _on_not_leader(self, host: str | None, leader: str | None) -> None:
        if leader is not None and leader != host:
            self._leader = leader
            return
        self._leader = None
        await asyncio.sleep(RETRY_DELAY_MS / MS_PER_S)

    async def _attempt(self, host: str, call: messages.Call, timeout_ms: int) -> messages.Reply:
        channel = self._channel(host)
        stub = rpc.LeaderStub(channel)
        request = pb.LeaderAsk(ask=messages.encode(call))
        try:
            answer = await stub.Ask(request, timeout=timeout_ms / MS_PER_S)
            envelope = messages.decode_reply(answer.answer)
        except grpc.aio.AioRpcError as exc:
            self._retire_channel(host, channel)
            self._log_first_failure(host, exc.code().name, _label(call))
            return messages.OutcomeUnknown(exc.code().name)
        except asyncio.CancelledError:
            if is_current_task_cancelled():
                raise
            return messages.OutcomeUnknown("its channel was closed by another call")
        except grpc.aio.UsageError:
            return messages.OutcomeUnknown("its channel was closed by another call")
        except msgspec.DecodeError as exc:
            self._log.warning(events.REPLY_UNREADABLE, host=host, detail=str(exc))
            return messages.OutcomeUnknown("unreadable")
        self._failing_hosts.discard(host)
        self._call_reply_ms[host] = self._clock.now_ms()
        self._prepend_hosts(envelope.hosts)
        return envelope.reply

    def _unknown_after_rejection(
        self, host: str | None, call: messages.Call, reply: messages.Reply
    ) -> messages.OutcomeUnknown:
        metrics.CALL_RETRIES.labels("rejected-after-unknown").inc()
        self._log.info(
            events.REJECTED_AFTER_UNKNOWN, host=host, kind=_label(call), reply=reply.label
        )
        return messages.OutcomeUnknown("rejected after an attempt without an answer")

    def _log_first_failure(self, host: str, code: str, kind: str) -> None:
        """Log the first failed call since the host last replied."""
        if host not in self._failing_hosts:
            self._failing_hosts.add(host)
            self._log.info(events.CALL_FAILED, host=host, code=code, kind=kind)

    def _prepend_hosts(self, hosts: tuple[str, ...]) -> None:
        """Put the hosts that a reply names before those from the settings, which may be old."""
        for host in hosts:
            if host not in self._hosts:
                self._hosts.insert(0, host)

    def _channel(self, host: str) -> grpc.aio.Channel:
        channel = self._channels.get(host)
        if channel is None:
            address = f"{host}:{self._port}"
            channel = grpc.aio.insecure_channel(address, options=list(CHANNEL_OPTIONS))
            self._channels[host] = channel
        return channel

    def _retire_channel(self, host: str, channel: grpc.aio.Channel) -> None:
        """Use a new channel for later calls; those in progress on the old one may complete."""
        if self._channels.get(host) is not channel:
            return
        del self._channels[host]
        task = asyncio.get_running_loop().create_task(_close_later(channel))
        self._closing_tasks.add(task)
        task.add_done_callback(self._closing_tasks.discard)


async def _close_later(channel: grpc.aio.Channel) -> None:
    try:
        await asyncio.sleep(CHANNEL_CLOSE_DELAY_MS / MS_PER_S)
    finally:
        await channel.close(grace=None)


def _is_rejected(call: messages.Call, reply: messages.Reply) -> bool:
    """Return whether a reply says that a call which changes something had no effect."""
    has_effect = not isinstance(call, READING_CALLS)
    return has_effect and isinstance(reply, REJECTIONS)


def _label(call: messages.Call) -> str:
    return call.label
