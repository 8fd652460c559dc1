"""The scheduling state of a zone."""

from collections import deque
from dataclasses import replace

from agateferry_core.demand import Assignment
from agateferry_scheduling.estimates import Estimates
from agateferry_scheduling.guarantees import Layout
from agateferry_scheduling.health import HealthTracker
from agateferry_scheduling.placement.first_fit import MemberCounts, assignments_of
from agateferry_scheduling.preemption.claims import Claims
from agateferry_scheduling.queueing import Queue
from agateferry_scheduling.queueing.fairness import TeamShares
from agateferry_scheduling.queueing.reservation import Reservation
from agateferry_scheduling.scheduler.messages import PendingRequest, SchedulingConfig, Team
from agateferry_scheduling.topology import Allocation, AllocationKind, Topology

MAX_RECENT_STARTS = 16


class ZoneState:
    """Hold the state of all parts of a scheduler, and make changes that affect several of them."""

    def __init__(self, zone: str, config: SchedulingConfig) -> None:
        self.config = config
        self.teams: dict[str, Team] = {}
        self.topology = Topology(zone)
        self.layout = Layout(self.topology)
        self.queue = Queue()
        self.shares = TeamShares()
        self.estimates = Estimates()
        self.health = HealthTracker(config)
        self.claims = Claims(self.topology)
        self.reservation: Reservation | None = None
        self.adopting = False
        self.recent_starts_ms: dict[str, deque[int]] = {}

    def set_teams(self, teams: tuple[Team, ...]) -> None:
        """Replace the list of teams."""
        self.teams = {team.name: team for team in teams}
        self.shares.weights = {team.name: team.weight for team in teams}
        self.layout.set_teams(teams)

    def set_config(self, config: SchedulingConfig) -> None:
        """Replace the configuration."""
        self.config = config
        self.health.config = config

    def place(
        self,
        request: PendingRequest,
        counts: MemberCounts,
        kind: AllocationKind,
        now_ms: int,
        pending: bool,
    ) -> Allocation:
        """Allocate workers to a request; `pending` if other work must stop first."""
        assignments = assignments_of(request.demand, counts)
        allocation = Allocation(request, assignments, now_ms, kind, pending=pending)
        self.add_allocation(allocation)
        return allocation

    def reserve_move_target(
        self, request: PendingRequest, counts: MemberCounts, now_ms: int
    ) -> Allocation:
        """Reserve the workers that a running request moves to."""
        placeholder = replace(request, request_id=f"{request.request_id} moving")
        assignments = assignments_of(request.demand, counts)
        allocation = Allocation(
            placeholder, assignments, now_ms, AllocationKind.BORROWED, pending=True
        )
        self.topology.allocate(allocation)
        return allocation

    def add_allocation(self, allocation: Allocation) -> None:
        """Add an allocation."""
        self.topology.allocate(allocation)
        self.layout.charge(allocation, 1)
        self.shares.charge(allocation.request.team, allocation.request.demand, 1)

    def release(self, request_id: str) -> Allocation | None:
        """Remove an allocation; return None if it is unknown."""
        allocation = self.topology.release(request_id)
        if allocation is None:
            return None
        self.layout.charge(allocation, -1)
        self.shares.charge(allocation.request.team, allocation.request.demand, -1)
        return allocation

    def adopt(
        self, request: PendingRequest, assignments: tuple[Assignment, ...], started_ms: int
    ) -> None:
        """Add a request that was already running when this scheduler started."""
        kind = AllocationKind.BORROWED if request.preemptible else AllocationKind.PINNED
        self.add_allocation(Allocation(request, assignments, started_ms, kind))
        self.adopting = True

    def finish_adoption(self) -> None:
        """Lay out the guarantees around the adopted requests, once all of them are known."""
        if self.adopting:
            self.adopting = False
            self.layout.adopt_running_allocations()

    def record_start(self, team: str, now_ms: int) -> None:
        """Record the time of a start of a team's request."""
        times = self.recent_starts_ms.setdefault(team, deque(maxlen=MAX_RECENT_STARTS))
        times.append(now_ms)

    def mean_start_interval_ms(self, team: str, now_ms: int) -> int:
        """Return the mean interval between the team's recent starts; 0 if there is none."""
        times = self.recent_starts_ms.get(team)
        return (now_ms - times[0]) // len(times) if times else 0
