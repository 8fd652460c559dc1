"""UDP datagrams for small messages, used alone while they arrive in both directions.

A heartbeat and its reply take several times less processor time as datagrams than in a stream, and
their order does not matter while no entries are in transit. Each datagram tells whether the sender
has recently received datagrams from the recipient. While both hosts receive each other's
datagrams, small messages are sent only as datagrams, else in the stream as well. So a network that
drops datagrams in one or both directions loses at most two heartbeats.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from agateferry_core.clock import Clock
from agateferry_state.replica.metrics import MESSAGES_DROPPED

MAX_DATAGRAM_BYTES = 1200
MAX_READS_PER_TURN = 64
DATAGRAM_PATH_VALID_MS = 450


class DatagramSocket:
    """Send and receive datagrams on one UDP port."""

    def __init__(self, address: str, receive: Callable[[bytes], None]) -> None:
        """Bind to `ip:port`; raises OSError if that fails."""
        self._receive = receive
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        try:
            self._socket.bind(_parse_address(address))
        except OSError:
            self._socket.close()
            raise
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram, or count it as dropped if the operating system refuses it."""
        try:
            self._socket.sendto(data, _parse_address(address))
        except OSError:
            MESSAGES_DROPPED.labels("datagram-refused").inc()

    def close(self) -> None:
        """Stop receiving and close the port."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def _read(self) -> None:
        """Read waiting datagrams; ignore the OSError that a peer with a closed port causes."""
        with contextlib.suppress(OSError):
            for _ in range(MAX_READS_PER_TURN):
                self._receive(self._socket.recv(MAX_DATAGRAM_BYTES))


class DatagramReachability:
    """Track which hosts' datagrams arrive here, and which hosts receive those from here."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_received_ms: dict[str, int] = {}
        self._last_bidirectional_ms: dict[str, int] = {}

    def record_received(self, host: str, peer_receives_ours: bool) -> None:
        """Record a datagram from a host, and whether that host receives datagrams from here."""
        now_ms = self._clock.now_ms()
        self._last_received_ms[host] = now_ms
        if peer_receives_ours:
            self._last_bidirectional_ms[host] = now_ms

    def receives_from(self, host: str) -> bool:
        """Return whether a datagram from this host arrived recently."""
        return self._is_recent(self._last_received_ms.get(host))

    def is_bidirectional(self, host: str) -> bool:
        """Return whether datagrams recently passed in both directions."""
        return self._is_recent(self._last_bidirectional_ms.get(host))

    def _is_recent(self, at_ms: int | None) -> bool:
        return at_ms is not None and self._clock.now_ms() - at_ms <= DATAGRAM_PATH_VALID_MS


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
