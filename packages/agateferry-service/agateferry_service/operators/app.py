"""The operators' HTTP application."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from pydantic import BaseModel, ConfigDict, Field
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from agateferry_core.metrics import CONTENT_TYPE, Metrics
from agateferry_service.entry.home_zone import zone_of_id
from agateferry_service.http.bodies import read_model
from agateferry_service.http.problems import problem, refusal_response
from agateferry_service.operators.evacuations import Evacuations
from agateferry_service.operators.host_status import HostStatusReader
from agateferry_service.operators.membership import MembershipChanges
from agateferry_service.operators.records_reader import RecordsReader
from agateferry_service.routing.calls import CellCalls, RecordsCalls
from agateferry_service.routing.zone_routers import ZoneRouters
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_service.settings import LimitSettings
from agateferry_state.records import Kind, Schema

CALL_TIMEOUT_MS = 5_000
JSON_CONTENT_TYPE = "application/json"


class PutBody(BaseModel):
    """The body of a put: a new version of a record, whose content the records plane checks."""

    model_config = ConfigDict(extra="forbid", strict=True)

    schema_: str = Field(alias="schema")
    replaces: int = Field(ge=0, le=2**53)
    content: dict[str, Any]


class OperatorsApp:
    """Serve operators from this host's state, or by a call to the leader that owns the answer."""

    def __init__(
        self,
        zone: str,
        zones: ZoneRouters,
        cell_calls: CellCalls,
        records_calls: RecordsCalls,
        records: RecordsReader,
        hosts: HostStatusReader,
        membership_changes: MembershipChanges,
        evacuations: Evacuations,
        limits: LimitSettings,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        refresh_gauges: Callable[[], None],
    ) -> None:
        self._zone = zone
        self._zones = zones
        self._cell_calls = cell_calls
        self._records_calls = records_calls
        self._records = records
        self._hosts = hosts
        self._membership_changes = membership_changes
        self._evacuations = evacuations
        self._limits = limits
        self._metrics = metrics
        self._is_ready = is_ready
        self._refresh_gauges = refresh_gauges

    def app(self) -> Starlette:
        """Return the application with its routes."""
        return Starlette(
            routes=[
                Route("/v1/records/{kind}", self.list_records, methods=["GET"]),
                Route("/v1/records/{kind}/{name}", self.get_record, methods=["GET"]),
                Route("/v1/records/{kind}/{name}", self.put_record, methods=["PUT"]),
                Route("/v1/records/{kind}/{name}/history", self.history, methods=["GET"]),
                Route("/v1/records-status", self.records_status, methods=["GET"]),
                Route("/v1/workers", self.workers, methods=["GET"]),
                Route("/v1/teams", self.teams, methods=["GET"]),
                Route("/v1/queue", self.queue, methods=["GET"]),
                Route("/v1/requests/{id}/explain", self.explain, methods=["GET"]),
                Route("/v1/cell", self.cell, methods=["GET"]),
                Route("/v1/cells", self.cells, methods=["GET"]),
                *self._membership_changes.routes(),
                *self._evacuations.routes(),
                Route("/healthz", self.healthz, methods=["GET"]),
                Route("/readyz", self.readyz, methods=["GET"]),
                Route("/metrics", self.metrics, methods=["GET"]),
            ]
        )

    async def put_record(self, req: Request) -> Response:
        """Store a new version of a record."""
        if req.path_params["kind"] == Kind.EVACUATION:
            detail = "evacuations change by POST or DELETE /v1/evacuations/ZONE only"
            return problem(422, "invalid", detail, run=None)
        limits = self._limits
        parsed = await read_model(
            req, PutBody, limits.max_body_bytes, limits.request_body_timeout_ms
        )
        if parsed.is_error():
            return parsed.error
        body = parsed.ok[0]
        message = pb.PutRecordRequest(
            kind=req.path_params["kind"],
            name=req.path_params["name"],
            schema=body.schema_,
            replaces=body.replaces,
            content=json.dumps(body.content),
        )
        put = self._records_calls.put
        reply = await self._zones.records.call(put, message, CALL_TIMEOUT_MS)
        return _query_response(reply)

    async def get_record(self, req: Request) -> Response:
        """Return the current version of a record."""
        return await self._read(req, "get")

    async def list_records(self, req: Request) -> Response:
        """Return the current version of every record of a kind."""
        return await self._read(req, "list")

    async def history(self, req: Request) -> Response:
        """Return the stored versions of a record."""
        return await self._read(req, "history")

    async def records_status(self, req: Request) -> Response:
        """Return the records revision in force on each host, and the newest committed one.

        Without a reply from the records plane, the newest is the highest of all hosts' revisions,
        and the response has the header `Agateferry-Stale`.
        """
        newest, hosts = await asyncio.gather(self._newest_revision(), self._hosts.all_statuses())
        listed = [
            {
                "host": host["host"],
                "zone": host["zone"],
                "revision": host.get("records", {}).get("revision"),
                "reachable": host["reachable"],
            }
            for host in hosts
        ]
        newest_on_hosts = max((host["revision"] or 0 for host in listed), default=0)
        resp = _json({"hosts": listed, "newest": max(newest or 0, newest_on_hosts)})
        if newest is None:
            resp.headers["Agateferry-Stale"] = "true"
        return resp

    async def workers(self, req: Request) -> Response:
        """Return the workers of this zone."""
        return await self._query(self._zone, "workers", "")

    async def teams(self, req: Request) -> Response:
        """Return the teams of this zone with their guarantees, allocations and queue lengths."""
        return await self._query(self._zone, "teams", "")

    async def queue(self, req: Request) -> Response:
        """Return the requests of this zone that have not ended."""
        return await self._query(self._zone, "queue", "")

    async def explain(self, req: Request) -> Response:
        """Return a request's state, and what it waits for."""
        request_id = req.path_params["id"]
        home = zone_of_id(request_id)
        if home not in self._zones.names:
            detail = f"the id {request_id} names no zone of this system"
            return problem(404, "unknown-request", detail, run=None)
        return await self._query(home, "explain", request_id)

    async def cell(self, req: Request) -> Response:
        """Return the status of this host's replicas of its cell and of the records plane."""
        return _json(self._hosts.own_status())

    async def cells(self, req: Request) -> Response:
        """Return the status of the replicas of every host."""
        return _json({"hosts": await self._hosts.all_statuses()})

    async def healthz(self, req: Request) -> Response:
        """Return 200 while the daemon runs."""
        return PlainTextResponse("alive\n")

    async def readyz(self, req: Request) -> Response:
        """Return 200 if the load balancer should send callers to this host, else 503."""
        if self._is_ready():
            return PlainTextResponse("ready\n")
        return PlainTextResponse("not ready\n", status_code=503)

    async def metrics(self, req: Request) -> Response:
        """Return the metrics in the Prometheus text format."""
        self._refresh_gauges()
        return Response(self._metrics.render(), media_type=CONTENT_TYPE)

    async def _read(self, req: Request, query: str) -> Response:
        """Read from the records plane, or from the zone's copy if the plane cannot be reached.

        `query` is get, list or history. A response from the copy has `Agateferry-Stale`.
        """
        kind, schema = req.path_params["kind"], req.query_params.get("schema", "v2")
        if kind not in list(Kind) or schema not in list(Schema):
            detail = "kinds are team, job, config and evacuation; schemas are v1 and v2"
            return problem(404, "unknown-record", detail, run=None)
        name = req.path_params.get("name", "")
        reply, is_stale = await self._records.read(query, Kind(kind), name, Schema(schema))
        resp = _query_response(reply)
        if is_stale:
            resp.headers["Agateferry-Stale"] = "true"
        return resp

    async def _newest_revision(self) -> int | None:
        """Return the newest committed revision, or None if the records plane cannot be reached."""
        reply = await self._records.newest_revision()
        if reply.HasField("refusal"):
            return None
        newest: int = json.loads(reply.body)["revision"]
        return newest

    async def _query(self, zone: str, view: str, name: str) -> Response:
        query = self._cell_calls.query
        message = pb.QueryRequest(what=view, name=name)
        return _query_response(await self._zones.router(zone).call(query, message, CALL_TIMEOUT_MS))


def _json(document: Any) -> Response:
    return Response(json.dumps(document), media_type=JSON_CONTENT_TYPE)


def _query_response(reply: pb.QueryReply) -> Response:
    if reply.HasField("refusal"):
        return refusal_response(reply.refusal)
    return Response(reply.body, media_type=JSON_CONTENT_TYPE)
