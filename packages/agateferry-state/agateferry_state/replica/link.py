"""A long-lived stream to one peer, replaced by a new one when it stalls.

A connection can stall permanently while new connections work. gRPC's keepalive detects that too
late for a replicated log, as it sends no ping in the first ten seconds. So a batch asks for a
receipt at intervals. If the receipt or a write takes longer than a timeout, the stream and its
channel are closed, and a new channel is opened after a backoff. An idle stream asks for no
receipts.
"""

import asyncio
import contextlib
import math
import random
from dataclasses import dataclass

from grpc import aio

from agateferry_core.clock import MS_PER_S
from agateferry_core.logs import EventLogger
from agateferry_state.events import PEER_CONNECTED, PEER_CONNECTION_LOST, PEER_LINK_FAILED
from agateferry_state.replica.codec import encode_envelope
from agateferry_state.replica.metrics import RECONNECTS, count_sent
from agateferry_state.replica.outbox import Outbox
from agateferry_state.rpc import replication_pb2 as pb
from agateferry_state.rpc import replication_pb2_grpc as rpc

MAX_BATCH_BYTES = 1024 * 1024
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
SERVER_KEEPALIVE_MS = 30_000


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """The time limits of a stream, in milliseconds.

    While there are messages to send, a stalled connection is detected within
    `receipt_interval_ms` plus `stall_timeout_ms`.
    """

    receipt_interval_ms: int = 500
    stall_timeout_ms: int = 1000
    backoff_min_ms: int = 50
    backoff_max_ms: int = 1000

    def channel_options(self) -> list[tuple[str, int]]:
        """Return the options of a channel with a connection of its own."""
        return [
            ("grpc.min_reconnect_backoff_ms", self.stall_timeout_ms),
            ("grpc.use_local_subchannel_pool", 1),
            ("grpc.enable_http_proxy", 0),
            ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
        ]


class ReceiptMonitor:
    """Ask for receipts at intervals, and cancel the call if one is overdue."""

    def __init__(self, call: aio.StreamStreamCall, settings: LinkSettings) -> None:
        self._call = call
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._requested_at_s = -math.inf
        self._timer: asyncio.TimerHandle | None = None
        self.is_overdue = False
        self.task = self._loop.create_task(self._read())

    def request_if_due(self) -> bool:
        """Return whether the next batch should ask for a receipt; if so, start its timeout."""
        now = self._loop.time()
        if (
            self._timer is not None
            or now - self._requested_at_s < self._settings.receipt_interval_ms / MS_PER_S
        ):
            return False
        self._requested_at_s = now
        self._timer = self._loop.call_later(
            self._settings.stall_timeout_ms / MS_PER_S, self._cancel_call
        )
        return True

    def close(self) -> None:
        """Stop waiting for receipts."""
        self._stop_timer()
        self.task.cancel()

    async def _read(self) -> None:
        with contextlib.suppress(aio.AioRpcError, asyncio.CancelledError):
            async for _ in self._call:
                self._stop_timer()

    def _cancel_call(self) -> None:
        self.is_overdue = True
        self._call.cancel()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class PeerLink:
    """Send the messages of an outbox to one address, reconnecting until closed."""

    def __init__(self, host: str, address: str, settings: LinkSettings, rng: random.Random) -> None:
        self.address = address
        self.outbox = Outbox()
        self._settings = settings
        self._rng = rng
        self._log = EventLogger(host=host, address=address)
        self._backoff_ms = settings.backoff_min_ms
        self._is_connection_lost = False
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Drop queued messages and close the connection."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        while True:
            await self.outbox.wait()
            try:
                reason = await self._exchange()
            except Exception as exc:
                reason = "unexpected"
                self._log.error(PEER_LINK_FAILED, detail=repr(exc))
            RECONNECTS.labels(reason).inc()
            if not self._is_connection_lost:
                self._log.warning(PEER_CONNECTION_LOST, reason=reason)
            self._is_connection_lost = True
            self.outbox.clear("connection-lost")
            await asyncio.sleep(self._next_backoff_ms() / MS_PER_S)

    async def _exchange(self) -> str:
        """Send over a new channel until the stream breaks; return the reason."""
        channel = aio.insecure_channel(self.address, self._settings.channel_options())
        call = rpc.ReplicationStub(channel).Exchange()
        receipts = ReceiptMonitor(call, self._settings)
        reason = "closed"
        try:
            await self._send_all(call, receipts)
        except aio.AioRpcError as exc:
            reason = str(exc.code().name).lower()
        except asyncio.CancelledError:
            if not call.cancelled() or not receipts.is_overdue:
                raise
        except TimeoutError:
            reason = "write-timeout"
        except asyncio.InvalidStateError:
            pass
        finally:
            receipts.close()
            await channel.close(None)
        return "silent" if receipts.is_overdue else reason

    async def _send_all(self, call: aio.StreamStreamCall, receipts: ReceiptMonitor) -> None:
        call.add_done_callback(lambda _: self.outbox.wake())
        while not call.done():
            await self.outbox.wait()
            envelopes = self.outbox.take(MAX_BATCH_BYTES)
            if not envelopes:
                continue
            batch = pb.Envelopes(
                envelopes=[encode_envelope(each) for each in envelopes],
                wants_receipt=receipts.request_if_due(),
            )
            async with asyncio.timeout(self._settings.stall_timeout_ms / MS_PER_S):
                await call.write(batch)
            count_sent(batch.ByteSize())
            self._mark_connected()

    def _mark_connected(self) -> None:
        self._backoff_ms = self._settings.backoff_min_ms
        if self._is_connection_lost:
            self._log.info(PEER_CONNECTED)
            self._is_connection_lost = False

    def _next_backoff_ms(self) -> int:
        """Return a random delay from half of a limit to all; the limit doubles each time."""
        limit_ms = self._backoff_ms
        self._backoff_ms = min(limit_ms * 2, self._settings.backoff_max_ms)
        return self._rng.randint(limit_ms // 2, limit_ms)


def server_options() -> list[tuple[str, int]]:
    """Return the options of a server for such streams; keepalive closes dead connections."""
    return [
        ("grpc.so_reuseport", 0),
        ("grpc.keepalive_time_ms", SERVER_KEEPALIVE_MS),
        ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ]
