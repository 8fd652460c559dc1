"""The fair policy: guarantees first, then urgency, fair shares and whole racks.

`FairScheduler` takes events and gives decisions, without I/O and without chance: the same events at
the same times give the same decisions. It wants a `Tick` at least twice a second while anything
waits, because deadlines, patience, probes and reservations depend on time alone.
"""

from agateferry_core.demand import Worker
from agateferry_scheduling.scheduler.admission import Admission
from agateferry_scheduling.scheduler.explaining import explain
from agateferry_scheduling.scheduler.finder import Finder
from agateferry_scheduling.scheduler.messages import (
    ConfigChanged,
    Decision,
    EndReason,
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
from agateferry_scheduling.scheduler.reclaiming import Reclaimer
from agateferry_scheduling.scheduler.starting import Starter
from agateferry_scheduling.scheduler.zone import ZoneState

PASS_GAP_MS = 500


class FairScheduler:
    """Keep guarantees, fill racks and start urgent work soon.

    For example `FairScheduler("norsk-a").step(RequestQueued(request), now_ms)` returns a `Start`,
    the `Preempt`s that make room for it, a `Reject`, or nothing while the request waits.
    """

    def __init__(self, zone: str, config: SchedulingConfig | None = None) -> None:
        self.zone = ZoneState(zone, config or SchedulingConfig())
        self._admission = Admission(self.zone)
        finder = Finder(self.zone)
        self._reclaimer = Reclaimer(self.zone, finder)
        self._starter = Starter(self.zone, finder, self._reclaimer)
        self._mover = Mover(self.zone, finder)
        self._at_risk: tuple[str, ...] = ()
        self._passed_version = -1
        self._passed_ms = 0
        self._unfinished = False

    def step(self, event: SchedulerEvent, now_ms: int) -> list[Decision]:
        """Take one event in and return what to do, in the order to do it."""
        if isinstance(event, RequestRunning):
            self.zone.adopt(event.request, event.assignments, event.started_ms)
            return []
        self.zone.settle_adopted()
        decisions = self._take(event, now_ms)
        decisions += self._reclaimer.start_ready(now_ms)
        if self._is_pass_due(now_ms):
            decisions += self._pass(now_ms)
        return decisions + self._risks()

    def explain(self, request_id: str, now_ms: int) -> Explanation:
        """Tell why a request is where it is."""
        return explain(self.zone, request_id, now_ms)

    def _take(self, event: SchedulerEvent, now_ms: int) -> list[Decision]:
        match event:
            case RequestQueued(request=request):
                return self._queue(request, now_ms)
            case RequestEnded():
                return self._end(event, now_ms)
            case RequestWithdrawn(request_id=request_id):
                self._withdraw(request_id)
            case Tick():
                return self._admission.expire(now_ms) + self._mover.look(now_ms)
            case _:
                self._take_change(event)
        return []

    def _take_change(self, event: SchedulerEvent) -> None:
        zone = self.zone
        match event:
            case WorkerJoined(worker=worker):
                self._join(worker)
            case WorkerLeaving(name=name):
                zone.topology.drain(name)
                self._close()
            case WorkerLost(name=name):
                zone.topology.remove_worker(name)
                self._close()
            case TeamsChanged(teams=teams):
                zone.set_teams(teams)
                zone.topology.invalidate_searches()
            case ConfigChanged(config=config):
                zone.set_config(config)
                zone.topology.invalidate_searches()

    def _queue(self, request: PendingRequest, now_ms: int) -> list[Decision]:
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
            self._apply(change)
        return list(changes)

    def _apply(self, change: Quarantine) -> None:
        state = self.zone.topology.workers.get(change.worker)
        if state is None:
            return
        state.quarantined = not change.lifted
        self.zone.topology.invalidate_searches()
        self._close()

    def _join(self, worker: Worker) -> None:
        if not self.zone.topology.join(worker):
            return
        state = self.zone.topology.workers[worker.name]
        state.quarantined = self.zone.health.is_quarantined(worker.name)
        if worker.accelerators:
            self._close()

    def _close(self) -> None:
        """Move cells and claims off workers that take no new work."""
        self.zone.layout.refresh()
        for claim in self.zone.claims.unschedulable():
            self.zone.claims.remove(claim.request_id)
            self.zone.release(claim.request_id)
            self.zone.queue.add(claim.allocation.request)

    def _is_pass_due(self, now_ms: int) -> bool:
        if not len(self.zone.queue):
            return False
        changed = self.zone.topology.version != self._passed_version
        return changed or self._unfinished or now_ms - self._passed_ms >= PASS_GAP_MS

    def _pass(self, now_ms: int) -> list[Decision]:
        self._passed_version = self.zone.topology.version
        self._passed_ms = now_ms
        decisions = self._starter.run(now_ms)
        self._unfinished = bool(decisions)
        return decisions

    def _risks(self) -> list[Decision]:
        missing = self.zone.layout.teams_missing_cells()
        if missing == self._at_risk:
            return []
        self._at_risk = missing
        detail = "the workers left cannot hold all guaranteed shapes at once; add workers"
        if not missing:
            detail = "all guaranteed shapes can be laid out again"
        return [GuaranteeAtRisk(missing, detail)]
