"""Take a request into the queue, or give it its final answer at once."""

from agateferry_core.demand import Demand
from agateferry_scheduling.scheduler.messages import (
    Decision,
    PendingRequest,
    Reject,
    RejectReason,
)
from agateferry_scheduling.scheduler.zone import ZoneState
from agateferry_scheduling.topology.feasible import why_infeasible

SHORTEST_RETRY_MS = 1_000
LONGEST_RETRY_MS = 60_000


class Admission:
    """Judge new requests; the verdict on a demand is kept until the workers change."""

    def __init__(self, zone: ZoneState) -> None:
        self._zone = zone
        self._verdicts: dict[Demand, str | None] = {}
        self._joined = 0

    def admit(self, request: PendingRequest, now_ms: int) -> list[Decision]:
        """Queue a request, or return its rejection."""
        reject = self._refusal(request, now_ms)
        if reject is not None:
            self._zone.health.forget(request.request_id)
            return [reject]
        self._zone.queue.add(request)
        return []

    def expire(self, now_ms: int) -> list[Decision]:
        """Reject waiting requests whose deadline has passed."""
        decisions: list[Decision] = []
        for request in self._zone.queue.pop_expired(now_ms):
            detail = "the deadline passed while the request waited"
            reason = RejectReason.DEADLINE_UNREACHABLE
            decisions.append(Reject(request.request_id, reason, detail))
        return decisions

    def _refusal(self, request: PendingRequest, now_ms: int) -> Reject | None:
        team = self._zone.teams.get(request.team)
        name = request.request_id
        if team is None:
            return Reject(name, RejectReason.UNKNOWN_TEAM, f"no team {request.team} in this zone")
        if self._fails_everywhere(request):
            detail = "it failed on several workers and succeeded on none"
            return Reject(name, RejectReason.FAILS_EVERYWHERE, detail)
        reason = self._why_infeasible(request.demand)
        if reason is not None:
            return Reject(name, RejectReason.INFEASIBLE, reason)
        if self._is_late(request, now_ms):
            detail = "it cannot be answered before its deadline"
            return Reject(name, RejectReason.DEADLINE_UNREACHABLE, detail)
        if self._zone.queue.count_by_team.get(team.name, 0) >= team.max_queued:
            detail = f"{team.max_queued} requests of {team.name} wait already"
            retry_ms = self._retry_ms(team.name, now_ms)
            return Reject(name, RejectReason.TEAM_QUEUE_FULL, detail, retry_ms)
        if len(self._zone.queue) >= self._zone.config.max_queued_total:
            detail = f"{self._zone.config.max_queued_total} requests wait already"
            return Reject(name, RejectReason.QUEUE_FULL, detail, LONGEST_RETRY_MS)
        return None

    def _fails_everywhere(self, request: PendingRequest) -> bool:
        """Tell whether a request failed on several workers, or on all that could run it."""
        if self._zone.health.fails_everywhere(request.request_id):
            return True
        failed = self._zone.health.failed_workers_of(request.request_id)
        if not failed:
            return False
        seen = self._zone.topology.known_workers
        left = [worker for name, worker in seen.items() if name not in failed]
        return why_infeasible(request.demand, left) is not None

    def _why_infeasible(self, demand: Demand) -> str | None:
        topology = self._zone.topology
        if not topology.known_workers:
            return None
        if self._joined != topology.join_count:
            self._verdicts.clear()
            self._joined = topology.join_count
        if demand not in self._verdicts:
            self._verdicts[demand] = why_infeasible(demand, topology.known_workers.values())
        return self._verdicts[demand]

    def _is_late(self, request: PendingRequest, now_ms: int) -> bool:
        if request.deadline_ms is None:
            return False
        return now_ms + self._zone.estimates.at_least_ms(request) >= request.deadline_ms

    def _retry_ms(self, team: str, now_ms: int) -> int:
        """Return how long the team's starts of late took for one of them."""
        gap_ms = self._zone.start_gap_ms(team, now_ms)
        return min(max(gap_ms, SHORTEST_RETRY_MS), LONGEST_RETRY_MS)
