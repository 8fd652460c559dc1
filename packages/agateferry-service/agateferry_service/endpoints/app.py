"""The HTTP application of the endpoints' port, where workers send heartbeats."""

import re
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, field_validator
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from agateferry_core.metrics import Metrics
from agateferry_service.endpoints.registry import WorkerState
from agateferry_service.http.bodies import read_model
from agateferry_service.http.problems import problem, refusal_response
from agateferry_service.routing.calls import CellCalls
from agateferry_service.routing.router import Router
from agateferry_service.rpc import cell_pb2, commands_pb2
from agateferry_service.settings import LimitSettings

CALL_TIMEOUT_MS = 1_500
MAX_LEASES = 10_000
MAX_STEP = 2**53
MAX_NAME_CHARS = 63

Name = Annotated[str, Field(min_length=1, max_length=MAX_NAME_CHARS)]
Count = Annotated[int, Field(ge=0, le=1_000_000_000)]
MAX_PORT = 65_535
LABEL = "[A-Za-z0-9](?:[A-Za-z0-9-]*[A-Za-z0-9])?"
ADDRESS = re.compile(rf"(?:{LABEL}(?:\.{LABEL})*|\[[0-9A-Fa-f:.]+\]):([0-9]{{1,5}})")
"""An IP address or host name and a port; an IPv6 address is in brackets."""


class UsageBody(BaseModel):
    """The slots and accelerators in use on a worker `age_ms` milliseconds ago."""

    model_config = ConfigDict(extra="ignore")

    age_ms: Count = 0
    slots_used: Count = 0
    accelerators_used: Count = 0


class LeaseBody(BaseModel):
    """A lease of a worker whose run is reserved, running or ended with the result still kept."""

    model_config = ConfigDict(extra="ignore")

    lease: Annotated[str, Field(max_length=200)]
    state: Literal["reserved", "running", "finished", "failed", "stopped"]
    progress: float = Field(default=0.0, ge=0.0, le=1.0)
    checkpoint_step: Annotated[int, Field(ge=-MAX_STEP, le=MAX_STEP)] | None = None


class AnnounceBody(BaseModel):
    """The body of a heartbeat, in which a worker announces itself."""

    model_config = ConfigDict(extra="ignore")

    schema_: Literal["v1"] = Field(default="v1", alias="schema")
    incarnation: Name
    zone: Name
    rack: Name
    address: Name
    accelerators: Count
    cpu_cores: Count
    memory_mb: Count
    slots: Count
    connections: Count = 64
    state: Literal["serving", "leaving"] = "serving"
    usage: UsageBody = UsageBody()
    leases: Annotated[list[LeaseBody], Field(max_length=MAX_LEASES)] = []

    @field_validator("address")
    @classmethod
    def check_address(cls, address: str) -> str:
        """Reject an address that no worker can have, since orders are sent to it."""
        found = ADDRESS.fullmatch(address)
        if found is None or not 0 < int(found[1]) <= MAX_PORT:
            raise ValueError("not a host and a port from 1 to 65535")
        return address


class EndpointsApp:
    """Receive workers' heartbeats and forward them to the leader of the zone."""

    def __init__(
        self, zone: str, router: Router, calls: CellCalls, limits: LimitSettings, metrics: Metrics
    ) -> None:
        self._zone = zone
        self._router = router
        self._calls = calls
        self._limits = limits
        self._metrics = metrics

    def app(self) -> Starlette:
        """Return the application with its route."""
        route = Route("/v1/endpoints/{name}/announce", self.announce, methods=["POST"])
        return Starlette(routes=[route])

    async def announce(self, req: Request) -> Response:
        """Forward a heartbeat, and return the next interval and the leases to stop or release."""
        limits = self._limits
        parsed = await read_model(
            req, AnnounceBody, limits.max_body_bytes, limits.request_body_timeout_ms
        )
        if parsed.is_error():
            self._metrics.announced("invalid")
            return parsed.error
        body = parsed.ok[0]
        if body.zone != self._zone:
            self._metrics.announced("wrong-zone")
            detail = f"this host serves zone {self._zone}, not {body.zone}"
            return problem(421, "wrong-zone", detail, run=None)
        message = announce_message(req.path_params["name"], body)
        reply = await self._router.call(self._calls.announce, message, CALL_TIMEOUT_MS)
        if reply.HasField("refusal"):
            self._metrics.announced(reply.refusal.reason)
            return refusal_response(reply.refusal)
        self._metrics.announced("taken")
        return JSONResponse(
            {
                "heartbeat_ms": reply.heartbeat_ms,
                "stop": list(reply.stop),
                "release": list(reply.release),
            }
        )


def announce_message(name: str, body: AnnounceBody) -> cell_pb2.AnnounceRequest:
    """Return a heartbeat as the message to the zone's leader."""
    worker = commands_pb2.WorkerChanged(
        name=name,
        rack=body.rack,
        accelerators=body.accelerators,
        cpu_cores=body.cpu_cores,
        memory_mb=body.memory_mb,
        slots=body.slots,
        address=body.address,
        incarnation=body.incarnation,
        state=WorkerState(body.state).value,
    )
    leases = [
        cell_pb2.LeaseReport(
            lease=lease.lease,
            state=lease.state,
            progress=lease.progress,
            checkpoint_step=-1 if lease.checkpoint_step is None else lease.checkpoint_step,
        )
        for lease in body.leases
    ]
    return cell_pb2.AnnounceRequest(
        worker=worker,
        usage_age_ms=body.usage.age_ms,
        slots_used=body.usage.slots_used,
        accelerators_used=body.usage.accelerators_used,
        leases=leases,
    )
