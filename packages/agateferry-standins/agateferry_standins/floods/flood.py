"""Many connections to one address that each send one request and stay open."""

import asyncio
from collections import Counter
from collections.abc import Sequence

SEND_TIMEOUT_S = 20.0
"""How long a connection tries to send its request; a server may stop reading."""
READ_BYTES = 64 * 1024
STATUS_LINE_WORDS = 2


class Flood:
    """Send requests at once, each on a connection of its own, and keep the connections open.

    A flood is bounded in number and time: `send` returns once each connection has sent its
    request, was closed by the server, or has tried for `send_timeout_s`. `statuses` counts the
    status codes of the answers; 0 stands for a connection that was closed without one. With
    `reads_answers=False` the clients leave the answers in their sockets.
    """

    def __init__(
        self,
        address: str,
        requests: Sequence[bytes],
        reads_answers: bool = True,
        send_timeout_s: float = SEND_TIMEOUT_S,
    ) -> None:
        self._ip, _, port = address.rpartition(":")
        self._port = int(port)
        self._requests = requests
        self._reads_answers = reads_answers
        self._send_timeout_s = send_timeout_s
        self._writers: list[asyncio.StreamWriter] = []
        self._readers: list[asyncio.Task[None]] = []
        self.statuses: Counter[int] = Counter()
        self.sent = 0
        """How many connections have sent their whole request."""

    async def send(self) -> None:
        """Open all connections and send the requests; the connections stay open."""
        await asyncio.gather(*(self._send(request) for request in self._requests))

    async def close(self) -> None:
        """Close all connections."""
        for task in self._readers:
            task.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()

    async def _send(self, request: bytes) -> None:
        try:
            async with asyncio.timeout(self._send_timeout_s):
                reader, writer = await asyncio.open_connection(self._ip, self._port)
                self._writers.append(writer)
                if self._reads_answers:
                    self._readers.append(asyncio.create_task(self._read(reader)))
                else:
                    writer.transport.pause_reading()  # type: ignore[attr-defined]
                writer.write(request)
                await writer.drain()
                self.sent += 1
        except (OSError, TimeoutError):
            return

    async def _read(self, reader: asyncio.StreamReader) -> None:
        status = 0
        try:
            words = (await reader.readline()).split()
            status = int(words[1]) if len(words) >= STATUS_LINE_WORDS else 0
            while await reader.read(READ_BYTES):
                pass
        except (OSError, ValueError):
            return
        finally:
            self.statuses[status] += 1
