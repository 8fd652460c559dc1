"""Pings to the hosts of the cell, one datagram each way.

Each entry asks several times a second whether the leader can be reached. As a gRPC call that costs
a hundred entries and their leader far more than the calls of all callers. A datagram that is lost
does no harm: the next ping follows, and `LeaderMonitor` makes a call where none arrives.

A ping is a number of eight bytes; its answer is that number and an encoded `ReplyEnvelope`.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import cast

import msgspec

from agateferry_core.clock import Clock
from agateferry_core.logs import EventLogger
from agateferry_jobs import metrics
from agateferry_jobs.calls import events, messages

NUMBER_BYTES = 8
MAX_PENDING = 64
"""How many pings may wait for their answers; older ones are forgotten."""

OnPong = Callable[[str, messages.ReplyEnvelope, int], None]
"""Called with the host that answered, its answer, and when its ping was sent."""


def ping_port(internal_port: int) -> int:
    """Return the UDP port for pings; the replicated log uses the one of `internal_port`."""
    return internal_port + 1


class DatagramEndpoint(asyncio.DatagramProtocol):
    """A port for datagrams; where it cannot be opened, entries make calls instead."""

    _transport: asyncio.DatagramTransport | None = None

    async def open_port(self, ip: str, port: int) -> None:
        """Bind a port, or log why that fails; port 0 is any free one."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, port))
        except OSError as exc:
            EventLogger().warning(events.PINGS_UNAVAILABLE, address=f"{ip}:{port}", detail=str(exc))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, to send on it."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        """Close the port."""
        if self._transport is not None:
            self._transport.close()


class PingResponder(DatagramEndpoint):
    """Answer pings on a host of the cell."""

    def __init__(self, answer: Callable[[], messages.ReplyEnvelope]) -> None:
        self._answer = answer

    async def open(self, ip: str, port: int) -> None:
        """Bind the port that entries ping."""
        await self.open_port(ip, port)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answer a ping; ignore anything else."""
        if len(data) == NUMBER_BYTES and self._transport is not None:
            self._transport.sendto(data + messages.encode(self._answer()), addr)


class Pinger(DatagramEndpoint):
    """Send pings from an entry and report the answers to those that still wait for one."""

    def __init__(self, ip: str, port: int, clock: Clock, on_pong: OnPong) -> None:
        self._ip = ip
        self._port = port
        self._clock = clock
        self._on_pong = on_pong
        self._last_number = 0
        self._pending: dict[int, tuple[str, int]] = {}
        """By number, the host that a ping went to and when."""

    async def open(self) -> None:
        """Open a port on this host's address."""
        await self.open_port(self._ip, 0)

    def send(self, host: str) -> None:
        """Send a ping to a host of the cell."""
        if self._transport is None or self._transport.is_closing():
            return
        self._last_number += 1
        self._pending[self._last_number] = (host, self._clock.now_ms())
        if len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        data = self._last_number.to_bytes(NUMBER_BYTES, "big")
        with contextlib.suppress(OSError):
            self._transport.sendto(data, (host, self._port))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Report the answer to a ping; drop what is malformed, not asked for or too late."""
        number = int.from_bytes(data[:NUMBER_BYTES], "big")
        host, sent_ms = self._pending.pop(number, ("", 0))
        if host != addr[0]:
            metrics.PONGS_DROPPED.labels("unexpected").inc()
            return
        try:
            envelope = messages.decode_reply(data[NUMBER_BYTES:])
        except msgspec.DecodeError:
            metrics.PONGS_DROPPED.labels("malformed").inc()
            return
        self._on_pong(host, envelope, sent_ms)
