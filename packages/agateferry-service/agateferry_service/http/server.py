"""Serving an application on one port with uvicorn, on the daemon's own loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp
from uvicorn.protocols.http.h11_impl import H11Protocol

from agateferry_service.settings import Address

BACKLOG = 512


class BoundedHeadProtocol(H11Protocol):
    """Close a connection whose client does not finish a request's head in time.

    Without a bound, clients that send nothing or very slowly would use up the connections that a
    port takes.
    """

    head_s = 5.0
    _head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin to wait for the first head."""
        super().connection_made(transport)
        self._await_head()

    def data_received(self, data: bytes) -> None:
        """Take data in; a head that has begun must end in time."""
        super().data_received(data)
        if self.cycle is not None and not self.cycle.response_complete:
            self._forget_head()
        elif self._head_timer is None:
            self._await_head()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the timer with the connection."""
        self._forget_head()
        super().connection_lost(exc)

    def _await_head(self) -> None:
        self._head_timer = self.loop.call_later(self.head_s, self.transport.close)

    def _forget_head(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


def bounded_protocol(head_ms: int) -> type[BoundedHeadProtocol]:
    """Return the protocol with its bound, in the form that uvicorn takes."""
    return type("BoundedHead", (BoundedHeadProtocol,), {"head_s": head_ms / 1000})


class UvicornServerWithoutSignals(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture nothing."""
        yield


class HttpServer:
    """Serve one application until told to stop; a stop lets requests in flight finish."""

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
        self._server = UvicornServerWithoutSignals(cfg)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Bind the port and begin to serve; raise OSError when the port is taken."""
        family = socket.AF_INET6 if ":" in self.address.ip else socket.AF_INET
        # asyncio turns Nagle's algorithm off only where a socket names its protocol.
        sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.address.ip, self.address.port))
        sock.listen(BACKLOG)
        self._task = asyncio.create_task(self._server.serve(sockets=[sock]))

    async def stop(self, drain_ms: int) -> None:
        """Take no new connections and let what is in flight finish, for up to `drain_ms`."""
        self._server.should_exit = True
        if self._task is None:
            return
        done, _ = await asyncio.wait({self._task}, timeout=drain_ms / 1000)
        if not done:
            self._server.force_exit = True
            await self._task
