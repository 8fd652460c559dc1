"""The baseline policy: first come, first served, first fit, no preemption."""

from collections import OrderedDict

from agateferry_scheduling.placement.first_fit import assignments_of, first_fit
from agateferry_scheduling.scheduler.messages import (
    ConfigChanged,
    Decision,
    EvacuationChanged,
    Explanation,
    PendingRequest,
    Reject,
    RejectReason,
    RequestEnded,
    RequestQueued,
    RequestRunning,
    RequestWithdrawn,
    SchedulerEvent,
    SchedulingConfig,
    Start,
    Team,
    TeamsChanged,
    WorkerJoined,
    WorkerLeaving,
    WorkerLost,
)
from agateferry_scheduling.topology import Allocation, Topology
from agateferry_scheduling.topology.feasible import why_infeasible


class BaselineScheduler:
    """Start requests in order of arrival, each on the first workers that it fits on.

    A gang starts whole or not at all and keeps its adjacency. The oldest request that does not fit
    blocks those behind it. Guarantees, urgency and run time estimates are ignored. For example
    `BaselineScheduler("norsk-a").step(WorkerJoined(worker), now_ms)` returns the starts that the
    new worker makes possible.
    """

    def __init__(self, zone: str, config: SchedulingConfig | None = None) -> None:
        self.topology = Topology(zone)
        self._config = config or SchedulingConfig()
        self._teams: dict[str, Team] = {}
        self._queue: OrderedDict[str, PendingRequest] = OrderedDict()

    def step(self, event: SchedulerEvent, now_ms: int) -> list[Decision]:
        """Process one event and return rejections and starts."""
        rejected = self._apply(event, now_ms)
        return rejected + self._start_all(now_ms)

    def explain(self, request_id: str, now_ms: int) -> Explanation:
        """Return how many older requests are queued before this one."""
        if request_id in self.topology.allocations:
            return Explanation(request_id, "running", "nothing", "it has started")
        if request_id not in self._queue:
            return Explanation(request_id, "unknown", "nothing", "it is submitted")
        position = list(self._queue).index(request_id)
        waits = f"{position} older requests" if position else "workers with enough free resources"
        return Explanation(
            request_id, "waiting", waits, "older requests start and workers become free"
        )

    def _apply(self, event: SchedulerEvent, now_ms: int) -> list[Decision]:
        match event:
            case RequestQueued(request=request):
                return self._admit(request)
            case RequestWithdrawn(request_id=request_id):
                self._queue.pop(request_id, None)
            case RequestEnded(request_id=request_id):
                self.topology.release(request_id)
            case RequestRunning(request=request, assignments=assignments, started_ms=started_ms):
                self.topology.allocate(Allocation(request, assignments, started_ms))
            case WorkerJoined(worker=worker):
                self.topology.join(worker)
            case WorkerLeaving(name=name):
                self.topology.drain(name)
            case WorkerLost(name=name):
                self.topology.remove_worker(name)
            case TeamsChanged(teams=teams):
                self._teams = {team.name: team for team in teams}
            case ConfigChanged(config=config):
                self._config = config
            case EvacuationChanged(evacuated=evacuated):
                self.topology.set_evacuated(evacuated)
        return []

    def _admit(self, request: PendingRequest) -> list[Decision]:
        if request.team not in self._teams:
            return [Reject(request.request_id, RejectReason.UNKNOWN_TEAM, request.team)]
        reason = why_infeasible(request.demand, self.topology.known_workers.values())
        if self.topology.known_workers and reason is not None:
            return [Reject(request.request_id, RejectReason.INFEASIBLE, reason)]
        self._queue[request.request_id] = request
        return []

    def _start_all(self, now_ms: int) -> list[Decision]:
        started: list[Decision] = []
        while self._queue:
            request = next(iter(self._queue.values()))
            counts = first_fit(self.topology, request.demand)
            if counts is None:
                break
            del self._queue[request.request_id]
            assignments = assignments_of(request.demand, counts)
            self.topology.allocate(Allocation(request, assignments, now_ms))
            started.append(Start(request.request_id, assignments))
        return started
