"""Admission control: queue a new request or reject it."""

from agateferry_core.demand import Demand
from agateferry_scheduling.scheduler.messages import (
    Decision,
    PendingRequest,
    Reject,
    RejectReason,
)
from agateferry_scheduling.scheduler.zone import ZoneState
from agateferry_scheduling.topology.feasible import why_infeasible

MIN_RETRY_MS = 1_000
MAX_RETRY_MS = 60_000


class Admission:
    """Admit new requests; whether a demand is feasible is cached until a worker joins."""

    def __init__(self, zone: ZoneState) -> None:
        self._zone = zone
        self._infeasible_reasons: dict[Demand, str | None] = {}
        self._checked_joined = 0

    def admit(self, request: PendingRequest, now_ms: int) -> list[Decision]:
        """Queue a request or return its rejection."""
        reject = self._rejection(request, now_ms)
        if reject is not None:
            self._zone.health.forget(request.request_id)
            return [reject]
        self._zone.queue.add(request)
        return []

    def expire(self, now_ms: int) -> list[Decision]:
        """Reject waiting requests whose deadline has passed."""
        decisions: list[Decision] = []
        for request in self._zone.queue.pop_expired(now_ms):
            detail = "the deadline passed while the request was queued"
            reason = RejectReason.DEADLINE_UNREACHABLE
            decisions.append(Reject(request.request_id, reason, detail))
        return decisions

    def _rejection(self, request: PendingRequest, now_ms: int) -> Reject | None:
        team = self._zone.teams.get(request.team)
        name = request.request_id
        if team is None:
            return Reject(name, RejectReason.UNKNOWN_TEAM, f"no team {request.team} in this zone")
        if self._fails_everywhere(request):
            detail = "the request failed on several workers and succeeded on none"
            return Reject(name, RejectReason.FAILS_EVERYWHERE, detail)
        reason = self._why_infeasible(request.demand)
        if reason is not None:
            return Reject(name, RejectReason.INFEASIBLE, reason)
        if self._is_deadline_unreachable(request, now_ms):
            detail = "the request cannot end before its deadline"
            return Reject(name, RejectReason.DEADLINE_UNREACHABLE, detail)
        if self._zone.queue.count_by_team.get(team.name, 0) >= team.max_queued:
            detail = f"team {team.name} already has {team.max_queued} queued requests"
            retry_after_ms = self._retry_after_ms(team.name, now_ms)
            return Reject(name, RejectReason.TEAM_QUEUE_FULL, detail, retry_after_ms)
        if len(self._zone.queue) >= self._zone.config.max_queued_total:
            detail = f"the zone already has {self._zone.config.max_queued_total} queued requests"
            return Reject(name, RejectReason.QUEUE_FULL, detail, MAX_RETRY_MS)
        return None

    def _fails_everywhere(self, request: PendingRequest) -> bool:
        """Return whether a request failed on several workers or on all that could run it."""
        if self._zone.health.fails_everywhere(request.request_id):
            return True
        failed = self._zone.health.failed_workers_of(request.request_id)
        if not failed:
            return False
        seen = self._zone.topology.known_workers
        remaining = [worker for name, worker in seen.items() if name not in failed]
        return why_infeasible(request.demand, remaining) is not None

    def _why_infeasible(self, demand: Demand) -> str | None:
        topology = self._zone.topology
        if not topology.known_workers:
            return None
        if self._checked_joined != topology.join_count:
            self._infeasible_reasons.clear()
            self._checked_joined = topology.join_count
        if demand not in self._infeasible_reasons:
            self._infeasible_reasons[demand] = why_infeasible(
                demand, topology.known_workers.values()
            )
        return self._infeasible_reasons[demand]

    def _is_deadline_unreachable(self, request: PendingRequest, now_ms: int) -> bool:
        if request.deadline_ms is None:
            return False
        return now_ms + self._zone.estimates.at_least_ms(request) >= request.deadline_ms

    def _retry_after_ms(self, team: str, now_ms: int) -> int:
        """Return the mean interval between the team's recent starts, within the retry limits."""
        interval_ms = self._zone.mean_start_interval_ms(team, now_ms)
        return min(max(interval_ms, MIN_RETRY_MS), MAX_RETRY_MS)
