"""The gRPC service of a cell."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from google.protobuf.message import Message

from agateferry_service.cell.cell import Cell
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_service.rpc import cell_pb2_grpc
from agateferry_state.replica.metrics import count_received, count_sent

Reply = TypeVar("Reply", bound=Message)


class CellServicer(cell_pb2_grpc.CellServicer):
    """Serve calls from other entry hosts.

    gRPC cancels a handler when its caller disconnects or times out. The call still runs to its end,
    because otherwise a request could be stored but never launched.
    """

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self._running_calls: set[asyncio.Task[Any]] = set()

    async def Submit(self, request: pb.SubmitRequest, context: Any) -> pb.RequestReply:
        """Admit a request."""
        return await self._serve(request, self._cell.submit(request))

    async def Look(self, request: pb.LookRequest, context: Any) -> pb.RequestReply:
        """Return a request."""
        return await self._serve(request, self._cell.get_request(request))

    async def Cancel(self, request: pb.CancelRequest, context: Any) -> pb.RequestReply:
        """Cancel a request."""
        return await self._serve(request, self._cell.cancel(request))

    async def Announce(self, request: pb.AnnounceRequest, context: Any) -> pb.AnnounceReply:
        """Process a worker's heartbeat."""
        return await self._serve(request, self._cell.announce(request))

    async def Query(self, request: pb.QueryRequest, context: Any) -> pb.QueryReply:
        """Answer an operator's query."""
        return await self._serve(request, self._cell.query(request))

    async def _serve(self, request: Message, handler: Coroutine[Any, Any, Reply]) -> Reply:
        """Run a call to its end, even if its caller leaves, and count its bytes."""
        count_received(request.ByteSize())
        task = asyncio.get_running_loop().create_task(handler)
        self._running_calls.add(task)
        task.add_done_callback(self._running_calls.discard)
        reply = await asyncio.shield(task)
        count_sent(reply.ByteSize())
        return reply
