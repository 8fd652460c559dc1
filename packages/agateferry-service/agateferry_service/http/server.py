"""A server of one application on one port, with uvicorn on the daemon's event loop."""

import asyncio
import contextlib
import socket
import time
from collections.abc import Iterator
from email.utils import formatdate

import uvicorn
from starlette.types import ASGIApp
from uvicorn.protocols.http.h11_impl import H11Protocol

from agateferry_service.address import Address

BACKLOG = 512


class DateHeader:
    """The Date header of responses, formatted again only when the second has changed."""

    def __init__(self) -> None:
        self._second = -1
        self._header = (b"date", b"")

    def current(self) -> tuple[bytes, bytes]:
        """Return the header's name and value now."""
        second = int(time.time())
        if second != self._second:
            self._second = second
            self._header = (b"date", formatdate(second, usegmt=True).encode())
        return self._header


class BoundedHeadProtocol(H11Protocol):
    """Close a connection if the client does not send a request's head within `head_s` seconds.

    Without this timeout, clients that send nothing or very slowly would use up the connection limit
    of a port.
    """

    head_s = 5.0
    date_header = DateHeader()
    _head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the timeout for the first head."""
        super().connection_made(transport)
        self._start_head_timer()

    def data_received(self, data: bytes) -> None:
        """Process data; a complete head stops the timeout, and the next head starts it."""
        self.server_state.default_headers = [self.date_header.current()]
        super().data_received(data)
        if self.cycle is not None and not self.cycle.response_complete:
            self._cancel_head_timer()
        elif self._head_timer is None:
            self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timeout."""
        self._cancel_head_timer()
        super().connection_lost(exc)

    def _start_head_timer(self) -> None:
        self._head_timer = self.loop.call_later(self.head_s, self.transport.close)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


def bounded_protocol(head_ms: int) -> type[BoundedHeadProtocol]:
    """Return the protocol class with its timeout, because uvicorn takes a class."""
    return type("BoundedHead", (BoundedHeadProtocol,), {"head_s": head_ms / 1000})


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server inside a daemon: it has no signal handlers and never wakes up while idle.

    uvicorn's own loop wakes up ten times a second to look for a request to stop and to format the
    Date header, which `BoundedHeadProtocol` sets when a request arrives.
    """

    def __init__(self, cfg: uvicorn.Config) -> None:
        super().__init__(cfg)
        self._stopping = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers as they are."""
        yield

    async def main_loop(self) -> None:
        """Serve until `begin_shutdown`."""
        await self._stopping.wait()

    def begin_shutdown(self) -> None:
        """Accept no new connections and finish the requests in flight."""
        self.should_exit = True
        self._stopping.set()


class HttpServer:
    """Serve one application until stopped; a stop lets requests in flight finish."""

    def __init__(
        self, name: str, app: ASGIApp, address: Address, max_connections: int, head_ms: int
    ) -> None:
        self.name = name
        self.address = address
        cfg = uvicorn.Config(
            app,
            loop="asyncio",
            http=bounded_protocol(head_ms),
            log_config=None,
            access_log=False,
            lifespan="off",
            backlog=BACKLOG,
            limit_concurrency=max_connections,
            timeout_keep_alive=30,
            server_header=False,
        )
        self._server = EmbeddedServer(cfg)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Bind the port and start to serve; raise OSError if the port is in use."""
        family = socket.AF_INET6 if ":" in self.address.ip else socket.AF_INET
        # asyncio sets TCP_NODELAY only if the socket was created with IPPROTO_TCP.
        sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.address.ip, self.address.port))
        sock.listen(BACKLOG)
        self._task = asyncio.create_task(self._server.serve(sockets=[sock]))

    async def stop(self, drain_ms: int) -> None:
        """Accept no new connections; let requests in flight finish for up to `drain_ms`."""
        self._server.begin_shutdown()
        if self._task is None:
            return
        done, _ = await asyncio.wait({self._task}, timeout=drain_ms / 1000)
        if not done:
            self._server.force_exit = True
            await self._task
