"""Admission of requests: complete a submission from its job record, or refuse it."""

from dataclasses import dataclass

from agateferry_core.clock import Clock
from agateferry_scheduling.scheduler.messages import PendingRequest
from agateferry_service.cell.catalog import Catalog
from agateferry_service.cell.refusals import RefusalReason, refusal
from agateferry_service.requests import RequestSpec
from agateferry_service.requests.codec import demand_from_pb
from agateferry_service.rpc import cell_pb2 as pb


@dataclass(frozen=True, slots=True)
class Admission:
    """Check submissions against the records in force in this zone."""

    catalog: Catalog
    clock: Clock

    def admit(self, req: pb.SubmitRequest) -> RequestSpec | pb.Refusal:
        """Return the completed request, or the refusal if it cannot be admitted."""
        if self.catalog.team(req.team) is None:
            return refusal(RefusalReason.UNKNOWN_TEAM, f"no team record is named {req.team}")
        job = self.catalog.job(req.job)
        if job is None:
            return refusal(RefusalReason.UNKNOWN_JOB, f"no job record is named {req.job}")
        if not job.idempotent and not req.key:
            detail = f"job {req.job} is not idempotent; send an Idempotency-Key"
            return refusal(RefusalReason.KEY_REQUIRED, detail)
        wall_ms = self.clock.wall_ms()
        return RequestSpec(
            id=req.id,
            team=req.team,
            job=req.job,
            key=req.key,
            body_digest=req.body_digest,
            payload=req.payload,
            demand=demand_from_pb(req.demand) if req.HasField("demand") else job.demand,
            urgency=job.urgency,
            idempotent=job.idempotent,
            preemptible=job.preemptible and job.idempotent,
            checkpointable=job.checkpointable,
            max_attempts=job.max_attempts,
            declared_run_ms=req.declared_run_ms or job.declared_run_ms,
            deadline_wall_ms=wall_ms + req.deadline_ms if req.deadline_ms else 0,
            submitted_wall_ms=wall_ms,
        )


def to_pending_request(spec: RequestSpec, clock: Clock) -> PendingRequest:
    """Return the scheduler's form of a request, with its times on the monotonic clock."""
    offset_ms = clock.now_ms() - clock.wall_ms()
    return PendingRequest(
        request_id=spec.id,
        team=spec.team,
        job=spec.job,
        urgency=spec.urgency,
        demand=spec.demand,
        declared_run_ms=spec.declared_run_ms,
        submitted_ms=spec.submitted_wall_ms + offset_ms,
        deadline_ms=spec.deadline_wall_ms + offset_ms if spec.deadline_wall_ms else None,
        preemptible=spec.preemptible,
        checkpointable=spec.checkpointable,
    )
