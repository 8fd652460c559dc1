"""Serving an application on one port with uvicorn, on the daemon's own loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp

from agateferry_service.settings import Address

BACKLOG = 512


class QuietServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture nothing."""
        yield


class HttpServer:
    """Serve one application until told to stop; a stop lets requests in flight finish."""

    def __init__(self, name: str, app: ASGIApp, address: Address, max_connections: int) -> None:
        self.name = name
        self.address = address
        cfg = uvicorn.Config(
            app,
            loop="asyncio",
            http="h11",
            log_config=None,
            access_log=False,
            lifespan="off",
            backlog=BACKLOG,
            limit_concurrency=max_connections,
            timeout_keep_alive=30,
            server_header=False,
        )
        self._server = QuietServer(cfg)
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

    async def stop(self) -> None:
        """Take no new connections, let what is in flight finish, and end."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
