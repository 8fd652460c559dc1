"""A TCP relay between two addresses, with each direction passed, held or dropped on command.

A daemon is told the relay's address in place of its peer's; a cut in one direction then looks to
both ends as a silent network partition does: connections stay open and bytes do not arrive.
"""

import asyncio
import contextlib
from enum import StrEnum

CHUNK_BYTES = 65_536


class Direction(StrEnum):
    """Name a direction of the relay, seen from whoever connects to it."""

    FORWARD = "forward"
    BACK = "back"


class Flow(StrEnum):
    """Say what becomes of the bytes of a direction."""

    PASS = "pass"
    HOLD = "hold"
    DROP = "drop"


class Relay:
    """Pass bytes between those who connect and the `target`, an `ip:port`.

    For example `await relay.start()` and then `relay.set_flow(Direction.BACK, Flow.DROP)`.
    """

    def __init__(self, target: str, port: int = 0, host: str = "127.0.0.1") -> None:
        self._target_host, _, target_port = target.rpartition(":")
        self._target_port = int(target_port)
        self._host = host
        self._port = port
        self._flows = dict.fromkeys(Direction, Flow.PASS)
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._conns: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return the address that the relay listens on."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, self._host, self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for conn in list(self._conns):
            conn.cancel()
        await asyncio.gather(*self._conns, return_exceptions=True)

    def set_flow(self, direction: Direction, flow: Flow) -> None:
        """Change what becomes of the bytes of a direction; held bytes go on with PASS."""
        self._flows[direction] = flow
        self._changed.set()
        self._changed = asyncio.Event()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._conns.add(task)
        try:
            await self._join(reader, writer)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._conns.discard(task)
            writer.close()

    async def _join(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection(self._target_host, self._target_port)
        pumps = [
            asyncio.create_task(self._pump(Direction.FORWARD, reader, far_writer)),
            asyncio.create_task(self._pump(Direction.BACK, far_reader, writer)),
        ]
        try:
            await asyncio.wait(pumps)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            far_writer.close()

    async def _pump(
        self, direction: Direction, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if await self._may_pass(direction):
                    writer.write(chunk)
                    await writer.drain()
            if await self._may_pass(direction) and writer.can_write_eof():
                writer.write_eof()

    async def _may_pass(self, direction: Direction) -> bool:
        while self._flows[direction] is Flow.HOLD:
            await self._changed.wait()
        return self._flows[direction] is Flow.PASS
