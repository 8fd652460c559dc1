"""A TCP relay whose directions can each be set to pass, hold or drop bytes.

The settings of a daemon have the relay's address in place of its peer's. A direction that is held
or dropped looks like a network partition: connections stay open and bytes do not arrive.
"""

import asyncio
import contextlib
from enum import StrEnum

CHUNK_BYTES = 65_536


class Direction(StrEnum):
    """A direction of the relay: from the connecting client to the target, or back."""

    FORWARD = "forward"
    BACK = "back"


class Flow(StrEnum):
    """What happens to the bytes of a direction: sent, kept until `PASS`, or discarded."""

    PASS = "pass"
    HOLD = "hold"
    DROP = "drop"


class Relay:
    """Forward each accepted connection to the `target`, an `ip:port`.

    For example `await relay.start()` and then `relay.set_flow(Direction.BACK, Flow.DROP)`.
    """

    def __init__(self, target: str, port: int = 0, host: str = "127.0.0.1") -> None:
        self._target_host, _, target_port = target.rpartition(":")
        self._target_port = int(target_port)
        self._host = host
        self._port = port
        self._flows = dict.fromkeys(Direction, Flow.PASS)
        self._flow_changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._conn_tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return the address on which the relay listens, `ip:port`."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._accept, self._host, self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._conn_tasks):
            task.cancel()
        await asyncio.gather(*self._conn_tasks, return_exceptions=True)

    def set_flow(self, direction: Direction, flow: Flow) -> None:
        """Set the flow of a direction; `PASS` sends held bytes and `DROP` discards them."""
        self._flows[direction] = flow
        self._flow_changed.set()
        self._flow_changed = asyncio.Event()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._conn_tasks.add(task)
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._conn_tasks.discard(task)
            writer.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            self._target_host, self._target_port
        )
        copy_tasks = [
            asyncio.create_task(self._copy_stream(Direction.FORWARD, reader, target_writer)),
            asyncio.create_task(self._copy_stream(Direction.BACK, target_reader, writer)),
        ]
        try:
            await asyncio.wait(copy_tasks)
        finally:
            for task in copy_tasks:
                task.cancel()
            await asyncio.gather(*copy_tasks, return_exceptions=True)
            target_writer.close()

    async def _copy_stream(
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
            await self._flow_changed.wait()
        return self._flows[direction] is Flow.PASS
