"""A small TCP load balancer in place of the platform's balancer in front of the entry hosts.

It forwards each new connection to the next ready host. Readiness is checked by `/readyz` on each
host's operators' port every `CHECK_INTERVAL_S`; a host that refuses a connection is skipped until
the next check.
"""

import asyncio
import contextlib
from dataclasses import dataclass

import aiohttp

CHECK_INTERVAL_S = 0.25
CHECK_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
CHUNK_BYTES = 65_536

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(frozen=True, slots=True)
class Backend:
    """The addresses of an entry host for callers and for readiness checks, each `ip:port`."""

    callers: str
    operators: str


class Balancer:
    """Forward each accepted connection to a ready host, in turn."""

    def __init__(self, backends: list[Backend], port: int = 0, host: str = "127.0.0.1") -> None:
        self._backends = backends
        self._host = host
        self._port = port
        self._ready: set[Backend] = set()
        self._next_index = 0
        self._server: asyncio.Server | None = None
        self._check_task: asyncio.Task[None] | None = None
        self._conn_tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return the address on which the balancer listens, `ip:port`."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Check the readiness of every host once, then listen."""
        async with aiohttp.ClientSession() as session:
            await self._check_all(session)
        self._check_task = asyncio.create_task(self._check_periodically())
        self._server = await asyncio.start_server(self._accept, self._host, self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        tasks = list(self._conn_tasks)
        if self._check_task is not None:
            tasks.append(self._check_task)
        if self._server is not None:
            self._server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _check_periodically(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                await self._check_all(session)
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check_all(self, session: aiohttp.ClientSession) -> None:
        results = await asyncio.gather(*(self._is_ready(session, b) for b in self._backends))
        self._ready = {b for b, ready in zip(self._backends, results, strict=True) if ready}

    async def _is_ready(self, session: aiohttp.ClientSession, backend: Backend) -> bool:
        timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT_S)
        try:
            url = f"http://{backend.operators}/readyz"
            async with session.get(url, timeout=timeout) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._conn_tasks.add(task)
        try:
            backend_streams = await self._connect()
            if backend_streams is not None:
                await self._forward((reader, writer), backend_streams)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._conn_tasks.discard(task)
            writer.close()

    async def _connect(self) -> Streams | None:
        """Connect to the next ready host that accepts, or return None if none does."""
        for _ in self._backends:
            backend = self._backends[self._next_index % len(self._backends)]
            self._next_index += 1
            if backend not in self._ready:
                continue
            host, _, port = backend.callers.rpartition(":")
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    return await asyncio.open_connection(host, int(port))
            except OSError:
                self._ready.discard(backend)
        return None

    async def _forward(self, client_streams: Streams, backend_streams: Streams) -> None:
        copy_tasks = [
            asyncio.create_task(copy_stream(client_streams[0], backend_streams[1])),
            asyncio.create_task(copy_stream(backend_streams[0], client_streams[1])),
        ]
        try:
            await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
            if copy_tasks[0].done():
                await copy_tasks[1]
        finally:
            for task in copy_tasks:
                task.cancel()
            await asyncio.gather(*copy_tasks, return_exceptions=True)
            backend_streams[1].close()


async def copy_stream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy bytes until the end of the stream, then close the writer's sending side."""
    with contextlib.suppress(OSError):
        while chunk := await reader.read(CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
