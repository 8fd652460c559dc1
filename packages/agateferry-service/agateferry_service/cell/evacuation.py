"""What a cell's leader tells of the evacuation of its zone, to callers and in the log."""

from datetime import UTC, datetime

from agateferry_core.clock import MS_PER_S
from agateferry_service.cell import events
from agateferry_service.cell.context import CellContext
from agateferry_service.cell.refusals import EVACUATED_RETRY_AFTER_MS, RefusalReason, refusal
from agateferry_service.requests import Request, RequestState
from agateferry_service.requests.codec import view_to_pb
from agateferry_service.rpc import cell_pb2, commands_pb2
from agateferry_state.records import EvacuationRecord


class EvacuationNotice:
    """Log when the zone is evacuated or readmitted, once for each change that a leader sees."""

    def __init__(self, ctx: CellContext) -> None:
        self._ctx = ctx
        self._logged: EvacuationRecord | None = None

    def log_change(self) -> None:
        """Log the evacuation in force if it is not the one logged last, or its end."""
        evacuation = self._ctx.catalog.evacuation()
        if evacuation == self._logged:
            return
        self._logged = evacuation
        if evacuation is None:
            self._ctx.log.info(events.READMITTED, running=self._running())
            return
        self._ctx.log.warning(
            events.EVACUATED,
            requested_by=evacuation.requested_by,
            since_ms=evacuation.since_ms,
            running=self._running(),
            guaranteed_accelerators=self._guaranteed_accelerators(),
        )

    def _running(self) -> int:
        open_requests = self._ctx.machine.ledger.open_requests()
        return sum(request.has_active_attempt for request in open_requests)

    def _guaranteed_accelerators(self) -> int:
        """Return the accelerators that teams are guaranteed here and cannot get back for now."""
        shapes = (shape for team in self._ctx.catalog.teams() for shape in team.guarantee)
        return sum(shape.accelerators * shape.count for shape in shapes)


def evacuated_refusal(zone: str, evacuation: EvacuationRecord) -> cell_pb2.Refusal:
    """Return the refusal of a new request in an evacuated zone; the request did not run."""
    detail = f"{_describe(zone, evacuation)}; name another zone, or try again later"
    return refusal(RefusalReason.ZONE_EVACUATED, detail, EVACUATED_RETRY_AFTER_MS)


def request_view(
    request: Request, zone: str, evacuation: EvacuationRecord | None
) -> commands_pb2.RequestView:
    """Return the view that callers get; one that waits in an evacuated zone says so."""
    view: commands_pb2.RequestView = view_to_pb(request)
    if evacuation is not None and request.state is RequestState.ACCEPTED:
        view.reason = RefusalReason.ZONE_EVACUATED
        view.detail = f"{_describe(zone, evacuation)}; the request waits for its readmission"
    return view


def _describe(zone: str, evacuation: EvacuationRecord) -> str:
    since = datetime.fromtimestamp(evacuation.since_ms / MS_PER_S, UTC)
    return f"zone {zone} is evacuated since {since.isoformat(timespec='seconds')}"
