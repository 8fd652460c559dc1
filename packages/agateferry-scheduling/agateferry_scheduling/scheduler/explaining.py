"""Explain the state of a request to operators."""

from agateferry_scheduling.scheduler.messages import Explanation, PendingRequest
from agateferry_scheduling.scheduler.zone import ZoneState
from agateferry_scheduling.topology import Allocation


def explain(zone: ZoneState, request_id: str, now_ms: int) -> Explanation:
    """Return the state of a request, what it waits for and what would let it start."""
    allocation = zone.topology.allocations.get(request_id)
    if allocation is not None:
        return _explain_placed(zone, allocation, now_ms)
    request = zone.queue.get(request_id)
    if request is None:
        return Explanation(request_id, "unknown", "nothing", "it is submitted to this zone")
    return _explain_waiting(zone, request, now_ms)


def _explain_placed(zone: ZoneState, allocation: Allocation, now_ms: int) -> Explanation:
    request_id = allocation.request.request_id
    where = ", ".join(f"{name} x{count}" for name, count in allocation.member_counts.items())
    details = (f"workers: {where}", f"allocation: {allocation.kind}")
    claim = zone.claims.by_request_id.get(request_id)
    if claim is not None:
        waits = f"preempted work on {where} to stop"
        if_stopped = f"that work stops, at the latest in {max(claim.stop_by_ms - now_ms, 0)} ms"
        return Explanation(request_id, "reclaiming", waits, if_stopped, details)
    state = "stopping" if allocation.stopping else "running"
    return Explanation(request_id, state, "nothing", "it has started", details)


def _explain_waiting(zone: ZoneState, request: PendingRequest, now_ms: int) -> Explanation:
    group = zone.queue.group_by_request_id[request.request_id]
    position = list(group.requests).index(request.request_id)
    team_share = zone.shares.dominant_share(
        request.team, zone.topology.accelerators, zone.topology.slots
    )
    likely_ms = zone.estimates.likely_ms(request)
    details = [
        f"waits for {now_ms - request.submitted_ms} ms",
        f"{position} similar requests are queued before it",
        f"weighted share of team {request.team}: {team_share:.3f}",
        f"likely run time {likely_ms} ms, declared {request.declared_run_ms} ms",
    ]
    if zone.topology.evacuated:
        readmitted = f"an operator readmits {zone.topology.zone}"
        waits = f"the end of the evacuation of {zone.topology.zone}"
        return Explanation(request.request_id, "waiting", waits, readmitted, tuple(details))
    reservation = zone.reservation
    starts_if = f"{group.waits_for} become available"
    if reservation is not None and reservation.request.request_id == request.request_id:
        names = ", ".join(sorted(reservation.workers))
        details.append(f"workers reserved for it: {names}")
        wait_ms = max(reservation.start_ms - now_ms, 0)
        starts_if = f"work on {names} ends, likely within {wait_ms} ms"
    elif reservation is not None:
        details.append(f"{len(reservation.workers)} workers are reserved for an older gang")
    return Explanation(request.request_id, "waiting", group.waits_for, starts_if, tuple(details))
