"""The gRPC face of a cell."""

import asyncio
from collections.abc import Awaitable, Coroutine
from typing import Any, TypeVar

from agateferry_service.cell.cell import Cell
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_service.rpc import cell_pb2_grpc

Reply = TypeVar("Reply")


class CellServicer(cell_pb2_grpc.CellServicer):
    """Pass calls from other entry hosts to this host's cell.

    gRPC cancels a handler when its caller dies or stops waiting. A call that changes something goes
    on to its end all the same, or a request could be stored and never be carried out.
    """

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self._under_way: set[asyncio.Task[Any]] = set()

    async def Submit(self, request: pb.SubmitRequest, context: Any) -> pb.RequestReply:
        """Admit a request."""
        return await self._to_its_end(self._cell.submit(request))

    async def Look(self, request: pb.LookRequest, context: Any) -> pb.RequestReply:
        """Return a request."""
        return await self._cell.look(request)

    async def Cancel(self, request: pb.CancelRequest, context: Any) -> pb.RequestReply:
        """Cancel a request."""
        return await self._to_its_end(self._cell.cancel(request))

    async def Announce(self, request: pb.AnnounceRequest, context: Any) -> pb.AnnounceReply:
        """Take an announcement in."""
        return await self._to_its_end(self._cell.announce(request))

    async def Query(self, request: pb.QueryRequest, context: Any) -> pb.QueryReply:
        """Answer an operator's question."""
        return await self._cell.query(request)

    def _to_its_end(self, work: Coroutine[Any, Any, Reply]) -> Awaitable[Reply]:
        task = asyncio.get_running_loop().create_task(work)
        self._under_way.add(task)
        task.add_done_callback(self._under_way.discard)
        return asyncio.shield(task)
