"""Small messages as datagrams, where datagrams are known to pass in both directions.

A heartbeat and its answer cost several times less processor time as datagrams than in a stream,
and their order does not matter while nothing else is under way. Each datagram says whether the
sender has lately heard datagrams of the recipient. As long as both ends hear each other, small
messages go as datagrams alone; otherwise they go in the stream as well, so that a network that
drops datagrams, in one direction or both, costs two heartbeats at most.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from agateferry_core.clock import Clock
from agateferry_state.replica.metrics import MESSAGES_DROPPED

MAX_DATAGRAM_BYTES = 1200
MAX_READS_PER_TURN = 64
FRESH_MS = 450


class DatagramSocket:
    """Send and receive datagrams on one UDP port."""

    def __init__(self, address: str, receive: Callable[[bytes], None]) -> None:
        """Bind to `ip:port`; raises OSError where that fails."""
        self._receive = receive
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        try:
            self._socket.bind(_split(address))
        except OSError:
            self._socket.close()
            raise
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram, or count it as dropped where the system does not take it."""
        try:
            self._socket.sendto(data, _split(address))
        except OSError:
            MESSAGES_DROPPED.labels("datagram-refused").inc()

    def close(self) -> None:
        """Stop receiving and close the port."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def _read(self) -> None:
        """Take in what waits; a peer without such a port is reported as an OSError and ignored."""
        with contextlib.suppress(OSError):
            for _ in range(MAX_READS_PER_TURN):
                self._receive(self._socket.recv(MAX_DATAGRAM_BYTES))


class DatagramPaths:
    """Remember from which hosts datagrams come, and which of them hear ours."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard_ms: dict[str, int] = {}
        self._two_way_ms: dict[str, int] = {}

    def note(self, host: str, hears_us: bool) -> None:
        """Note a datagram from a host and what it said of ours."""
        now_ms = self._clock.now_ms()
        self._heard_ms[host] = now_ms
        if hears_us:
            self._two_way_ms[host] = now_ms

    def hears(self, host: str) -> bool:
        """Tell whether datagrams of this host came lately."""
        return self._is_fresh(self._heard_ms.get(host))

    def is_two_way(self, host: str) -> bool:
        """Tell whether datagrams passed in both directions lately."""
        return self._is_fresh(self._two_way_ms.get(host))

    def _is_fresh(self, at_ms: int | None) -> bool:
        return at_ms is not None and self._clock.now_ms() - at_ms <= FRESH_MS


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
