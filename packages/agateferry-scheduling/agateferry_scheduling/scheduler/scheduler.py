"""The fair policy: guarantees first, then urgency, fair shares and whole racks.

`FairScheduler` takes events and returns decisions. It does no I/O and is deterministic: the same
events at the same times give the same decisions. It needs a `Tick` at least twice a second while
any request waits, because deadlines, waits for a compact placement, probes and reservations depend
on time alone.
"""

from agateferry_core.demand import Worker
from agateferry_scheduling.scheduler.admission import Admission
from agateferry_scheduling.scheduler.explaining import explain
from agateferry_scheduling.scheduler.finder import PlacementFinder
from agateferry_scheduling.scheduler.messages import (
    ConfigChanged,
    Decision,
    EndReason,
    EvacuationChanged,
    Explanation,
    GuaranteeAtRisk,
    PendingRequest,
    Quarantine,
    RequestEnded,
    RequestQueued,
    RequestRunning,
    RequestWithdrawn,
    SchedulerEvent,
    SchedulingConfig,
    TeamsChanged,
    Tick,
    WorkerJoined,
    WorkerLeaving,
    WorkerLost,
)
from agateferry_scheduling.scheduler.moving import Mover
from agateferry_scheduling.scheduler.preempting import Preemptor
from agateferry_scheduling.scheduler.starting import Starter
from agateferry_scheduling.scheduler.zone import ZoneState

PASS_INTERVAL_MS = 500


class FairScheduler:
    """Meet guarantees, keep whole racks free and start urgent requests early.

    For example `FairScheduler("norsk-a").step(RequestQueued(request), now_ms)` returns a `Start`,
    the `Preempt`s of the work in its way, a `Reject`, or nothing while the request waits.
    """

    def __init__(self, zone: str, config: SchedulingConfig | None = None) -> None:
        self.zone = ZoneState(zone, config or SchedulingConfig())
        self._admission = Admission(self.zone)
        finder = PlacementFinder(self.zone)
        self._preemptor = Preemptor(self.zone, finder)
        self._starter = Starter(self.zone, finder, self._preemptor)
        self._mover = Mover(self.zone, finder)
        self._at_risk: tuple[str, ...] = ()
        self._last_pass_version = -1
        self._last_pass_ms = 0
        self._last_pass_decided = False

    def step(self, event: SchedulerEvent, now_ms: int) -> list[Decision]:
        """Process one event and return the decisions in the order to carry them out."""
        if isinstance(event, RequestRunning):
            self.zone.adopt(event.request, event.assignments, event.started_ms)
            return []
        self.zone.finish_adoption()
        decisions = self._handle(event, now_ms)
        decisions += self._preemptor.start_ready(now_ms)
        if self._is_pass_due(now_ms):
            decisions += self._run_pass(now_ms)
        return decisions + self._guarantee_risks()

    def explain(self, request_id: str, now_ms: int) -> Explanation:
        """Return why a request is in its current state."""
        return explain(self.zone, request_id, now_ms)

    def _handle(self, event: SchedulerEvent, now_ms: int) -> list[Decision]:
        match event:
            case RequestQueued(request=request):
                return self._enqueue(request, now_ms)
            case RequestEnded():
                return self._end(event, now_ms)
            case RequestWithdrawn(request_id=request_id):
                self._withdraw(request_id)
            case Tick():
                return self._admission.expire(now_ms) + self._mover.start_move_if_due(now_ms)
            case _:
                self._apply_change(event)
        return []

    def _apply_change(self, event: SchedulerEvent) -> None:
        zone = self.zone
        match event:
            case WorkerJoined(worker=worker):
                self._join(worker)
            case WorkerLeaving(name=name):
                zone.topology.drain(name)
                self._vacate_unschedulable_workers()
            case WorkerLost(name=name):
                zone.topology.remove_worker(name)
                self._vacate_unschedulable_workers()
            case TeamsChanged(teams=teams):
                zone.set_teams(teams)
                zone.topology.invalidate_searches()
            case ConfigChanged(config=config):
                zone.set_config(config)
                zone.topology.invalidate_searches()
            case EvacuationChanged(evacuated=evacuated) if evacuated != zone.topology.evacuated:
                self._set_evacuated(evacuated)

    def _enqueue(self, request: PendingRequest, now_ms: int) -> list[Decision]:
        if request.request_id in self.zone.topology.allocations:
            return []
        decisions = self._admission.admit(request, now_ms)
        if not decisions:
            decisions = self._mover.resume(request, now_ms)
        group = self.zone.queue.group_by_request_id.get(request.request_id)
        if group is None or next(iter(group.requests)) != request.request_id:
            return decisions
        return decisions + self._starter.try_group(group, now_ms, 1)

    def _withdraw(self, request_id: str) -> None:
        self.zone.queue.remove(request_id)
        self.zone.health.forget(request_id)
        self._mover.forget(request_id)
        if self.zone.claims.remove(request_id) is not None:
            self.zone.release(request_id)

    def _end(self, event: RequestEnded, now_ms: int) -> list[Decision]:
        if self.zone.claims.remove(event.request_id) is not None:
            self.zone.release(event.request_id)
            return []
        allocation = self.zone.release(event.request_id)
        if allocation is None:
            return []
        request = allocation.request
        changes: list[Quarantine] = []
        if event.reason is not EndReason.PREEMPTED:
            self._mover.forget(event.request_id)
        if event.reason is EndReason.FINISHED:
            self.zone.estimates.learn(request, event.run_ms)
            changes = self.zone.health.record_success(request, tuple(allocation.member_counts))
        elif event.reason is EndReason.FAILED:
            changes = self.zone.health.record_failure(request, event.failed_workers, now_ms)
        elif event.reason is EndReason.CANCELLED:
            self.zone.health.forget(event.request_id)
        self.zone.health.record_probe_end(event.request_id, now_ms)
        for change in changes:
            self._apply_quarantine(change)
        return list(changes)

    def _apply_quarantine(self, change: Quarantine) -> None:
        state = self.zone.topology.workers.get(change.worker)
        if state is None:
            return
        state.quarantined = not change.lifted
        self.zone.topology.invalidate_searches()
        self._vacate_unschedulable_workers()

    def _join(self, worker: Worker) -> None:
        if not self.zone.topology.join(worker):
            return
        state = self.zone.topology.workers[worker.name]
        state.quarantined = self.zone.health.is_quarantined(worker.name)
        if worker.accelerators:
            self._vacate_unschedulable_workers()

    def _set_evacuated(self, evacuated: bool) -> None:
        """Evacuate or readmit the zone; readmitted, running work gets its team's cells back."""
        self.zone.topology.set_evacuated(evacuated)
        if not evacuated:
            self.zone.layout.adopt_running_allocations()
        self._vacate_unschedulable_workers()

    def _vacate_unschedulable_workers(self) -> None:
        """Move cells off workers that accept no new work, and requeue requests claiming them."""
        self.zone.layout.refresh()
        for claim in self.zone.claims.unschedulable():
            self.zone.claims.remove(claim.request_id)
            self.zone.release(claim.request_id)
            self.zone.queue.add(claim.allocation.request)

    def _is_pass_due(self, now_ms: int) -> bool:
        if not len(self.zone.queue):
            return False
        changed = self.zone.topology.version != self._last_pass_version
        return changed or self._last_pass_decided or now_ms - self._last_pass_ms >= PASS_INTERVAL_MS

    def _run_pass(self, now_ms: int) -> list[Decision]:
        self._last_pass_version = self.zone.topology.version
        self._last_pass_ms = now_ms
        decisions = self._starter.run_pass(now_ms)
        self._last_pass_decided = bool(decisions)
        return decisions

    def _guarantee_risks(self) -> list[Decision]:
        missing = self.zone.layout.teams_missing_cells()
        if missing == self._at_risk:
            return []
        self._at_risk = missing
        detail = "the remaining workers cannot hold all guaranteed shapes at once; add workers"
        if not missing:
            detail = "the workers can hold all guaranteed shapes again"
        return [GuaranteeAtRisk(missing, detail)]
