"""Finding the leader and asking it until an answer comes or the time is over.

Any host of the cell names the leader. A call that gets no answer in time is made again, at another
host and over a fresh connection, since a connection may be silent for good while new ones work.
"""

import asyncio
from collections.abc import Iterable

import grpc
import msgspec

from agateferry_core.clock import MS_PER_S, Clock
from agateferry_core.logs import EventLogger
from agateferry_core.tasks import is_cancelled_itself
from agateferry_jobs import metrics
from agateferry_jobs.calls import events, messages
from agateferry_jobs.rpc import leader_pb2 as pb
from agateferry_jobs.rpc import leader_pb2_grpc as rpc

TRY_MS = 700
"""A leader answers in a few ms where disks do; silence beyond this is a fault."""
PAUSE_MS = 60
"""The pause between two tries while no leader is known."""
RETIRE_MS = 2 * TRY_MS
"""No call on a channel that was given up takes longer."""
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 500
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", RECONNECT_MIN_MS),
    ("grpc.min_reconnect_backoff_ms", TRY_MS),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_MAX_MS),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
)


class LeaderClient:
    """Ask the leader of the cell, whichever host that is."""

    def __init__(self, clock: Clock, port: int) -> None:
        self._clock = clock
        self._port = port
        self._hosts: list[str] = []
        self._leader: str | None = None
        self._next = 0
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._retiring: set[asyncio.Task[None]] = set()
        self._failing: set[str] = set()
        self._log = EventLogger()
        self.last_reply_ms: int | None = None
        """When the leader last answered, by the clock that counts suspensions."""

    @property
    def hosts(self) -> tuple[str, ...]:
        """Return the hosts of the cell that are known."""
        return tuple(self._hosts)

    def add_hosts(self, hosts: Iterable[str]) -> None:
        """Learn of hosts of the cell; those named last are the newest."""
        for host in hosts:
            if host not in self._hosts:
                self._hosts.append(host)

    async def call(self, call: messages.Call, timeout_ms: int) -> messages.Reply:
        """Ask until a leader replies; `OutcomeUnknown` where one may have acted without a reply."""
        until_ms = self._clock.now_ms() + timeout_ms
        may_have_acted = False
        while True:
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                break
            host = self._choose()
            reply = (
                await self._try(host, call, min(TRY_MS, left_ms)) if host else messages.NotLeader()
            )
            match reply:
                case messages.NotLeader(leader):
                    metrics.CALL_RETRIES.labels("not-leader").inc()
                    await self._follow(host, leader)
                case messages.OutcomeUnknown(reason):
                    metrics.CALL_RETRIES.labels(reason).inc()
                    may_have_acted = True
                    self._leader = None
                    await asyncio.sleep(PAUSE_MS / MS_PER_S)
                case _:
                    self._leader = host
                    self.last_reply_ms = self._clock.now_ms()
                    return reply
        if may_have_acted:
            return messages.OutcomeUnknown("no reply in time")
        return messages.Refused("no leader", 0)

    async def close(self) -> None:
        """Close all connections."""
        for task in list(self._retiring):
            task.cancel()
        for channel in self._channels.values():
            await channel.close(grace=None)
        self._channels.clear()

    def _choose(self) -> str | None:
        if self._leader is not None:
            return self._leader
        if not self._hosts:
            return None
        self._next += 1
        return self._hosts[self._next % len(self._hosts)]

    async def _follow(self, host: str | None, leader: str | None) -> None:
        if leader is not None and leader != host:
            self._leader = leader
            return
        self._leader = None
        await asyncio.sleep(PAUSE_MS / MS_PER_S)

    async def _try(self, host: str, call: messages.Call, timeout_ms: int) -> messages.Reply:
        stub_channel = self._channel(host)
        stub = rpc.LeaderStub(stub_channel)
        wire = pb.LeaderAsk(ask=messages.encode(call))
        try:
            answer = await stub.Ask(wire, timeout=timeout_ms / MS_PER_S)
            decoded = messages.decode_reply(answer.answer)
        except grpc.aio.AioRpcError as exc:
            self._retire(host, stub_channel)
            self._note_failed(host, exc.code().name, _name(call))
            return messages.OutcomeUnknown(exc.code().name)
        except asyncio.CancelledError:
            if is_cancelled_itself():
                raise
            return messages.OutcomeUnknown("its channel was closed by another call")
        except grpc.aio.UsageError:
            return messages.OutcomeUnknown("its channel was closed by another call")
        except msgspec.DecodeError as exc:
            self._log.warning(events.ANSWER_UNREADABLE, host=host, detail=str(exc))
            return messages.OutcomeUnknown("unreadable")
        self._failing.discard(host)
        self._learn(decoded.hosts)
        return decoded.reply

    def _note_failed(self, host: str, code: str, kind: str) -> None:
        """Log the first failure since the host last answered."""
        if host not in self._failing:
            self._failing.add(host)
            self._log.info(events.ASK_FAILED, host=host, code=code, kind=kind)

    def _learn(self, hosts: tuple[str, ...]) -> None:
        """Prefer what a host of the cell says to what the settings said at the start."""
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

    def _retire(self, host: str, channel: grpc.aio.Channel) -> None:
        """Use a fresh channel from now on; calls under way on the old one may still end."""
        if self._channels.get(host) is not channel:
            return
        del self._channels[host]
        task = asyncio.get_running_loop().create_task(_close_later(channel))
        self._retiring.add(task)
        task.add_done_callback(self._retiring.discard)


async def _close_later(channel: grpc.aio.Channel) -> None:
    try:
        await asyncio.sleep(RETIRE_MS / MS_PER_S)
    finally:
        await channel.close(grace=None)


def _name(call: messages.Call) -> str:
    return call.label
