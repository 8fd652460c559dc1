"""A small TCP balancer, as the platform has one before the entry hosts.

It sends each new connection to the next host that is ready. A host is asked for `/readyz` on its
operators' port every `CHECK_PAUSE_S`; one that refuses a connection is skipped at once.
"""

import asyncio
import contextlib
from dataclasses import dataclass

import aiohttp

CHECK_PAUSE_S = 0.25
CHECK_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
CHUNK_BYTES = 65_536

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(frozen=True, slots=True)
class Backend:
    """One entry host: where callers go and where readiness is asked, each `ip:port`."""

    callers: str
    operators: str


class Balancer:
    """Accept connections and hand each to a ready host, in turn."""

    def __init__(self, backends: list[Backend], port: int = 0, host: str = "127.0.0.1") -> None:
        self._backends = backends
        self._host = host
        self._port = port
        self._ready: set[Backend] = set()
        self._turn = 0
        self._server: asyncio.Server | None = None
        self._checking: asyncio.Task[None] | None = None
        self._conns: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return the address that callers use."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Look once at every host, then listen."""
        async with aiohttp.ClientSession() as session:
            await self._check_all(session)
        self._checking = asyncio.create_task(self._check())
        self._server = await asyncio.start_server(self._accept, self._host, self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        tasks = list(self._conns)
        if self._checking is not None:
            tasks.append(self._checking)
        if self._server is not None:
            self._server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _check(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                await self._check_all(session)
                await asyncio.sleep(CHECK_PAUSE_S)

    async def _check_all(self, session: aiohttp.ClientSession) -> None:
        answers = await asyncio.gather(*(self._is_ready(session, b) for b in self._backends))
        self._ready = {b for b, ready in zip(self._backends, answers, strict=True) if ready}

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
        self._conns.add(task)
        try:
            far = await self._connect()
            if far is not None:
                await self._join((reader, writer), far)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._conns.discard(task)
            writer.close()

    async def _connect(self) -> Streams | None:
        """Connect to the next ready host that accepts; None when there is none."""
        for _ in self._backends:
            backend = self._backends[self._turn % len(self._backends)]
            self._turn += 1
            if backend not in self._ready:
                continue
            host, _, port = backend.callers.rpartition(":")
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    return await asyncio.open_connection(host, int(port))
            except OSError:
                self._ready.discard(backend)
        return None

    async def _join(self, near: Streams, far: Streams) -> None:
        pumps = [
            asyncio.create_task(pump(near[0], far[1])),
            asyncio.create_task(pump(far[0], near[1])),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            if pumps[0].done():
                await pumps[1]
        finally:
            for task in pumps:
                task.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            far[1].close()


async def pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Pass bytes on until the reader's end, then pass on the end."""
    with contextlib.suppress(OSError):
        while chunk := await reader.read(CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
