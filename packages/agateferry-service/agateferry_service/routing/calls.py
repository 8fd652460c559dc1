"""The calls that entry hosts make to each other."""

from agateferry_service.cell.cell import Cell
from agateferry_service.records.plane import RecordsPlane
from agateferry_service.routing.router import Call
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_service.rpc.cell_pb2_grpc import CellStub, RecordsStub


def _request_refused(refusal: pb.Refusal) -> pb.RequestReply:
    return pb.RequestReply(refusal=refusal)


def _query_refused(refusal: pb.Refusal) -> pb.QueryReply:
    return pb.QueryReply(refusal=refusal)


class CellCalls:
    """The calls to a zone's cell; `cell` is this host's own, which answers for its own zone."""

    def __init__(self, cell: Cell) -> None:
        self.submit = Call("submit", lambda ch: CellStub(ch).Submit, _request_refused, cell.submit)
        self.look = Call("look", lambda ch: CellStub(ch).Look, _request_refused, cell.look)
        self.cancel = Call("cancel", lambda ch: CellStub(ch).Cancel, _request_refused, cell.cancel)
        self.announce = Call(
            "announce",
            lambda ch: CellStub(ch).Announce,
            lambda refusal: pb.AnnounceReply(refusal=refusal),
            cell.announce,
        )
        self.query = Call("query", lambda ch: CellStub(ch).Query, _query_refused, cell.query)


class RecordsCalls:
    """The calls to the records plane; `plane` is this host's own share, if it votes."""

    def __init__(self, plane: RecordsPlane | None) -> None:
        self.put = Call(
            "put", lambda ch: RecordsStub(ch).Put, _query_refused, plane.put if plane else None
        )
        self.read = Call(
            "read", lambda ch: RecordsStub(ch).Read, _query_refused, plane.read if plane else None
        )
        self.since = Call(
            "since",
            lambda ch: RecordsStub(ch).Since,
            lambda refusal: pb.RecordsReply(refusal=refusal),
            plane.since if plane else None,
            sticky=False,
        )
