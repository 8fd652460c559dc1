"""A server of one application on one port, with uvicorn on the daemon's event loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp

from agateferry_core.clock import MS_PER_S
from agateferry_service.address import Address
from agateferry_service.http.port import PortState
from agateferry_service.http.protocol import bounded_protocol

BACKLOG = 512
"""How many connections the system keeps until they are accepted."""
ACCEPTED_AT_ONCE = 32
"""How many connections are accepted before the first of them is counted."""


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server inside a daemon: it has no signal handlers and never wakes up while idle.

    uvicorn's own loop wakes up ten times a second to look for a request to stop and to format the
    Date header, which `BoundedProtocol` sets when a request arrives.
    """

    def __init__(self, cfg: uvicorn.Config) -> None:
        super().__init__(cfg)
        self._stopping = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers as they are."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to accept, few connections at a time from a queue of full length."""
        await super().startup(sockets)
        for sock in sockets or []:
            sock.listen(BACKLOG)

    async def main_loop(self) -> None:
        """Serve until `begin_shutdown`."""
        await self._stopping.wait()

    def begin_shutdown(self) -> None:
        """Accept no new connections and finish the requests in flight."""
        self.should_exit = True
        self._stopping.set()


class HttpServer:
    """Serve one application until stopped; a stop lets requests in flight finish."""

    def __init__(self, app: ASGIApp, address: Address, port: PortState) -> None:
        self.name = port.name
        self.address = address
        cfg = uvicorn.Config(
            app,
            loop="asyncio",
            http=bounded_protocol(port),
            log_config=None,
            access_log=False,
            lifespan="off",
            backlog=ACCEPTED_AT_ONCE,
            timeout_keep_alive=port.limits.idle_ms // MS_PER_S,
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
