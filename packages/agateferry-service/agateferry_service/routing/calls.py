"""The RPC methods that entry hosts call on each other."""

from agateferry_service.cell.cell import Cell
from agateferry_service.records.plane import RecordsPlane
from agateferry_service.routing.router import RpcMethod
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_service.rpc.cell_pb2_grpc import CellStub, RecordsStub


def _request_refused(refusal: pb.Refusal) -> pb.RequestReply:
    return pb.RequestReply(refusal=refusal)


def _query_refused(refusal: pb.Refusal) -> pb.QueryReply:
    return pb.QueryReply(refusal=refusal)


class CellCalls:
    """The RPC methods of a zone's cell; `cell` is this host's own, called for its own zone."""

    def __init__(self, cell: Cell) -> None:
        self.submit = RpcMethod(
            "submit", lambda ch: CellStub(ch).Submit, _request_refused, cell.submit
        )
        self.get_request = RpcMethod(
            "look", lambda ch: CellStub(ch).Look, _request_refused, cell.get_request
        )
        self.cancel = RpcMethod(
            "cancel", lambda ch: CellStub(ch).Cancel, _request_refused, cell.cancel
        )
        self.announce = RpcMethod(
            "announce",
            lambda ch: CellStub(ch).Announce,
            lambda refusal: pb.AnnounceReply(refusal=refusal),
            cell.announce,
        )
        self.query = RpcMethod("query", lambda ch: CellStub(ch).Query, _query_refused, cell.query)


class RecordsCalls:
    """The RPC methods of the records plane; `plane` is this host's replica, if it is a voter."""

    def __init__(self, plane: RecordsPlane | None) -> None:
        self.put = RpcMethod(
            "put", lambda ch: RecordsStub(ch).Put, _query_refused, plane.put if plane else None
        )
        self.read = RpcMethod(
            "read", lambda ch: RecordsStub(ch).Read, _query_refused, plane.read if plane else None
        )
        self.since = RpcMethod(
            "since",
            lambda ch: RecordsStub(ch).Since,
            lambda refusal: pb.RecordsReply(refusal=refusal),
            plane.since if plane else None,
            sticky=False,
        )
