"""Conversion between the ledger's data classes and protobuf messages."""

from agateferry_core.demand import Adjacency, Demand, Urgency
from agateferry_service.requests.state import (
    Placement,
    Request,
    RequestSpec,
    RequestState,
    RunCertainty,
    Stage,
)
from agateferry_service.rpc import commands_pb2 as pb


def demand_to_pb(demand: Demand) -> pb.Demand:
    """Convert a demand to a message."""
    return pb.Demand(
        members=demand.members,
        accelerators=demand.accelerators,
        cpu_cores=demand.cpu_cores,
        memory_mb=demand.memory_mb,
        adjacency=demand.adjacency.value,
    )


def demand_from_pb(message: pb.Demand) -> Demand:
    """Convert a message to a demand."""
    return Demand(
        members=message.members,
        accelerators=message.accelerators,
        cpu_cores=message.cpu_cores,
        memory_mb=message.memory_mb,
        adjacency=Adjacency(message.adjacency),
    )


def placement_to_pb(placement: Placement) -> pb.Placement:
    """Convert a placement to a message."""
    return pb.Placement(
        member=placement.member,
        worker=placement.worker,
        incarnation=placement.incarnation,
        accelerators=placement.accelerators,
    )


def placement_from_pb(message: pb.Placement) -> Placement:
    """Convert a message to a placement."""
    return Placement(message.member, message.worker, message.incarnation, message.accelerators)


def spec_to_pb(spec: RequestSpec) -> pb.RequestSpec:
    """Convert a request's specification to a message."""
    return pb.RequestSpec(
        id=spec.id,
        team=spec.team,
        job=spec.job,
        key=spec.key,
        body_digest=spec.body_digest,
        payload=spec.payload,
        demand=demand_to_pb(spec.demand),
        urgency=spec.urgency.value,
        idempotent=spec.idempotent,
        preemptible=spec.preemptible,
        checkpointable=spec.checkpointable,
        max_attempts=spec.max_attempts,
        declared_run_ms=spec.declared_run_ms,
        deadline_wall_ms=spec.deadline_wall_ms,
        submitted_wall_ms=spec.submitted_wall_ms,
    )


def spec_from_pb(message: pb.RequestSpec) -> RequestSpec:
    """Convert a message to a request's specification."""
    return RequestSpec(
        id=message.id,
        team=message.team,
        job=message.job,
        key=message.key,
        body_digest=message.body_digest,
        payload=message.payload,
        demand=demand_from_pb(message.demand),
        urgency=Urgency(message.urgency),
        idempotent=message.idempotent,
        preemptible=message.preemptible,
        checkpointable=message.checkpointable,
        max_attempts=message.max_attempts,
        declared_run_ms=message.declared_run_ms,
        deadline_wall_ms=message.deadline_wall_ms,
        submitted_wall_ms=message.submitted_wall_ms,
    )


def view_to_pb(request: Request) -> pb.RequestView:
    """Convert a request to the view that callers get."""
    return pb.RequestView(
        id=request.spec.id,
        team=request.spec.team,
        job=request.spec.job,
        state=request.state.value,
        attempt=request.attempt,
        progress=request.progress,
        checkpoint_step=request.checkpoint_step,
        answers=request.answers,
        stage=request.stage.value if request.stage else "",
        run=request.run.value,
        detail=request.detail,
        reason=request.reason,
        submitted_wall_ms=request.spec.submitted_wall_ms,
        ended_wall_ms=request.ended_wall_ms,
        members=request.spec.demand.members,
    )


def request_to_pb(request: Request) -> pb.StoredRequest:
    """Convert a request, with all its fields, to its stored form."""
    return pb.StoredRequest(
        spec=spec_to_pb(request.spec),
        view=view_to_pb(request),
        placements=[placement_to_pb(placement) for placement in request.placements],
        cancelling=request.cancelling,
        failures=request.failures,
    )


def request_from_pb(message: pb.StoredRequest) -> Request:
    """Convert a request's stored form to a request."""
    view = message.view
    return Request(
        spec=spec_from_pb(message.spec),
        state=RequestState(view.state),
        attempt=view.attempt,
        placements=tuple(placement_from_pb(item) for item in message.placements),
        cancelling=message.cancelling,
        failures=message.failures,
        progress=view.progress,
        checkpoint_step=view.checkpoint_step,
        run=RunCertainty(view.run),
        answers=tuple(view.answers),
        stage=Stage(view.stage) if view.stage else None,
        reason=view.reason,
        detail=view.detail,
        ended_wall_ms=view.ended_wall_ms,
    )
