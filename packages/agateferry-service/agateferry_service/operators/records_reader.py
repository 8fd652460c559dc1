"""Reads of operators' records: from the records plane, or else from the zone's copy."""

from agateferry_service.cell.refusals import RefusalReason
from agateferry_service.records.plane import NEWEST_REVISION, read_records
from agateferry_service.routing.calls import RecordsCalls
from agateferry_service.routing.zone_routers import ZoneRouters
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_state.records import Kind, RecordStore, Schema

READ_TIMEOUT_MS = 1_500


class RecordsReader:
    """Read records for the operators' port; a query is `get`, `list` or `history`."""

    def __init__(
        self, zones: ZoneRouters, records_calls: RecordsCalls, local_records: RecordStore
    ) -> None:
        self._zones = zones
        self._records_calls = records_calls
        self._local_records = local_records

    async def read(
        self, query: str, kind: Kind, name: str, schema: Schema
    ) -> tuple[pb.QueryReply, bool]:
        """Read from the records plane, or from the zone's copy if the plane cannot be reached.

        Return the reply, and whether it is from the copy, which may be behind.
        """
        reply = await self.read_newest(query, kind, name, schema)
        if reply.HasField("refusal") and reply.refusal.reason != RefusalReason.UNKNOWN_RECORD:
            message = _message(query, kind, name, schema)
            return read_records(self._local_records, message), True
        return reply, False

    async def read_newest(self, query: str, kind: Kind, name: str, schema: Schema) -> pb.QueryReply:
        """Read from the records plane as of its newest commit."""
        return await self._call(_message(query, kind, name, schema))

    async def newest_revision(self) -> pb.QueryReply:
        """Return the newest committed revision, or a refusal."""
        return await self._call(pb.QueryRequest(what=NEWEST_REVISION))

    async def _call(self, message: pb.QueryRequest) -> pb.QueryReply:
        read = self._records_calls.read
        reply: pb.QueryReply = await self._zones.records.call(read, message, READ_TIMEOUT_MS)
        return reply


def _message(query: str, kind: Kind, name: str, schema: Schema) -> pb.QueryRequest:
    return pb.QueryRequest(what=query, name=f"{kind}/{name}/{schema}")
