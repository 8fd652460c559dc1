"""The gRPC service of the records plane."""

from typing import Any

from agateferry_service.records.plane import RecordsPlane
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_service.rpc import cell_pb2_grpc


class RecordsServicer(cell_pb2_grpc.RecordsServicer):
    """Serve calls from other entry hosts from this host's part of the records plane."""

    def __init__(self, plane: RecordsPlane) -> None:
        self._plane = plane

    async def Put(self, request: pb.PutRecordRequest, context: Any) -> pb.QueryReply:
        """Store a new version of a record."""
        return await self._plane.put(request)

    async def Read(self, request: pb.QueryRequest, context: Any) -> pb.QueryReply:
        """Read records."""
        return await self._plane.read(request)

    async def Since(self, request: pb.RecordsRequest, context: Any) -> pb.RecordsReply:
        """Return the revisions after a given one."""
        return await self._plane.since(request)
