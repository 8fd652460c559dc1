"""Record the events that a scheduler gets, so that they can be replayed later."""

from collections.abc import Callable

from agateferry_scheduling.scheduler.messages import (
    ConfigChanged,
    EndReason,
    EvacuationChanged,
    RequestEnded,
    RequestQueued,
    RequestWithdrawn,
    SchedulerEvent,
    TeamsChanged,
    UsageReported,
    WorkerJoined,
    WorkerLeaving,
    WorkerLost,
)
from agateferry_scheduling.traces.records import (
    Cancelled,
    ConfigSet,
    Ended,
    EvacuationSet,
    Record,
    Submitted,
    TeamsSet,
    UsageSeen,
    WorkerDown,
    WorkerLeft,
    WorkerUp,
    format_line,
)


class Recorder:
    """Convert scheduler events to trace lines and pass each to `write`.

    For example `Recorder(lambda line: file.write(line + "\\n")).record(event, now_ms)`. A request
    that is requeued is recorded once only, and runs that were preempted or lost are not recorded.
    """

    def __init__(self, write: Callable[[str], object]) -> None:
        self._write = write
        self._open_request_ids: set[str] = set()

    def record(self, event: SchedulerEvent, now_ms: int) -> None:
        """Write the line of an event, if traces have one for it."""
        record = self._to_record(event, now_ms)
        if record is not None:
            self._write(format_line(record))

    def _to_record(self, event: SchedulerEvent, now_ms: int) -> Record | None:
        match event:
            case RequestQueued(request=request) if request.request_id not in self._open_request_ids:
                self._open_request_ids.add(request.request_id)
                return Submitted(now_ms, request)
            case RequestWithdrawn(request_id=request_id):
                self._open_request_ids.discard(request_id)
                return Cancelled(now_ms, request_id)
            case RequestEnded():
                return self._to_end_record(event, now_ms)
            case _:
                return _to_change_record(event, now_ms)

    def _to_end_record(self, event: RequestEnded, now_ms: int) -> Record | None:
        if event.reason in (EndReason.PREEMPTED, EndReason.WORKER_LOST):
            return None
        self._open_request_ids.discard(event.request_id)
        if event.reason is EndReason.CANCELLED:
            return Cancelled(now_ms, event.request_id)
        fails = event.reason is EndReason.FAILED
        return Ended(now_ms, event.request_id, event.run_ms, fails)


def _to_change_record(event: SchedulerEvent, now_ms: int) -> Record | None:
    match event:
        case WorkerJoined(worker=worker):
            return WorkerUp(now_ms, worker)
        case WorkerLeaving(name=name):
            return WorkerLeft(now_ms, name)
        case WorkerLost(name=name):
            return WorkerDown(now_ms, name)
        case TeamsChanged(teams=teams):
            return TeamsSet(now_ms, teams)
        case ConfigChanged(config=config):
            return ConfigSet(now_ms, config)
        case EvacuationChanged(evacuated=evacuated):
            return EvacuationSet(now_ms, evacuated)
        case UsageReported(name=name, as_of_ms=as_of_ms, slots_used=slots, accelerators_used=used):
            return UsageSeen(now_ms, name, as_of_ms, slots, used)
    return None
