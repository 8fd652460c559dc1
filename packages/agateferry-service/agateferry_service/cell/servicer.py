"""The gRPC face of a cell."""

from typing import Any

from agateferry_service.cell.cell import Cell
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_service.rpc import cell_pb2_grpc


class CellServicer(cell_pb2_grpc.CellServicer):
    """Pass calls from other entry hosts to this host's cell."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell

    async def Submit(self, request: pb.SubmitRequest, context: Any) -> pb.RequestReply:
        """Admit a request."""
        return await self._cell.submit(request)

    async def Look(self, request: pb.LookRequest, context: Any) -> pb.RequestReply:
        """Return a request."""
        return await self._cell.look(request)

    async def Cancel(self, request: pb.CancelRequest, context: Any) -> pb.RequestReply:
        """Cancel a request."""
        return await self._cell.cancel(request)

    async def Announce(self, request: pb.AnnounceRequest, context: Any) -> pb.AnnounceReply:
        """Take an announcement in."""
        return await self._cell.announce(request)

    async def Query(self, request: pb.QueryRequest, context: Any) -> pb.QueryReply:
        """Answer an operator's question."""
        return await self._cell.query(request)
