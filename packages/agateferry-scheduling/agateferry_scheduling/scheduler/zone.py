"""What a scheduler knows of its zone: the state of every slice, changed together."""

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

STARTS_REMEMBERED = 16


class ZoneState:
    """Hold the slices' state and make the changes that concern several of them."""

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
        self.starts: dict[str, deque[int]] = {}

    def set_teams(self, teams: tuple[Team, ...]) -> None:
        """Take over the whole list of teams."""
        self.teams = {team.name: team for team in teams}
        self.shares.weights = {team.name: team.weight for team in teams}
        self.layout.set_teams(teams)

    def set_config(self, config: SchedulingConfig) -> None:
        """Take over a new configuration."""
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
        """Count a request as placed from now on."""
        assignments = assignments_of(request.demand, counts)
        allocation = Allocation(request, assignments, now_ms, kind, pending=pending)
        self.put(allocation)
        return allocation

    def held_place(self, request: PendingRequest, counts: MemberCounts, now_ms: int) -> Allocation:
        """Keep others off the place that a request moves to."""
        held = replace(request, request_id=f"{request.request_id} moving")
        assignments = assignments_of(request.demand, counts)
        allocation = Allocation(held, assignments, now_ms, AllocationKind.BORROWED, pending=True)
        self.topology.allocate(allocation)
        return allocation

    def put(self, allocation: Allocation) -> None:
        """Count an allocation in."""
        self.topology.allocate(allocation)
        self.layout.charge(allocation, 1)
        self.shares.charge(allocation.request.team, allocation.request.demand, 1)

    def release(self, request_id: str) -> Allocation | None:
        """Count an allocation out; return None when it is not known."""
        allocation = self.topology.release(request_id)
        if allocation is None:
            return None
        self.layout.charge(allocation, -1)
        self.shares.charge(allocation.request.team, allocation.request.demand, -1)
        return allocation

    def adopt(
        self, request: PendingRequest, assignments: tuple[Assignment, ...], started_ms: int
    ) -> None:
        """Count a request in that was started before this scheduler began."""
        kind = AllocationKind.BORROWED if request.preemptible else AllocationKind.PINNED
        self.put(Allocation(request, assignments, started_ms, kind))
        self.adopting = True

    def settle_adopted(self) -> None:
        """Lay the guarantees around all that was adopted, once no more of it comes."""
        if self.adopting:
            self.adopting = False
            self.layout.adopt_running_allocations()

    def note_start(self, team: str, now_ms: int) -> None:
        """Remember the times of a team's latest starts."""
        times = self.starts.setdefault(team, deque(maxlen=STARTS_REMEMBERED))
        times.append(now_ms)

    def start_gap_ms(self, team: str, now_ms: int) -> int:
        """Return how long one start of the team took of late; 0 when none is known."""
        times = self.starts.get(team)
        return (now_ms - times[0]) // len(times) if times else 0
