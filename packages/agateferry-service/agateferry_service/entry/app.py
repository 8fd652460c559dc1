"""The callers' HTTP application."""

import asyncio
import hashlib
import time
from collections.abc import Awaitable, Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from agateferry_core.metrics import Metrics
from agateferry_service.cell.catalog import Catalog
from agateferry_service.entry.home_zone import home_zone, new_id, zone_of_id
from agateferry_service.entry.models import SubmitBody
from agateferry_service.entry.views import has_ended, request_json
from agateferry_service.http.bodies import canonical_json, read_model, wait_ms
from agateferry_service.http.problems import problem, refusal_response
from agateferry_service.requests.codec import demand_to_pb
from agateferry_service.routing.calls import CellCalls
from agateferry_service.routing.zone_routers import ZoneRouters
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_service.settings import LimitSettings

MAX_KEY_CHARS = 200
PATIENCE_MS = 5_000
LOOK_SLICE_MS = 5_000
DISCONNECT_POLL_S = 0.25

Handler = Callable[[Request], Awaitable[Response]]


class CallersApp:
    """Take requests from callers, pass them to the zone that owns them, and answer."""

    def __init__(
        self,
        zone: str,
        zones: ZoneRouters,
        catalog: Catalog,
        calls: CellCalls,
        limits: LimitSettings,
        metrics: Metrics,
        is_stopping: Callable[[], bool],
    ) -> None:
        self._zone = zone
        self._zones = zones
        self._catalog = catalog
        self._calls = calls
        self._limits = limits
        self._metrics = metrics
        self._is_stopping = is_stopping

    def app(self) -> Starlette:
        """Return the application with its routes."""
        return Starlette(
            routes=[
                Route("/v1/requests", self._timed(self.submit), methods=["POST"]),
                Route("/v1/requests/{id}", self._timed(self.look), methods=["GET"]),
                Route("/v1/requests/{id}", self._timed(self.cancel), methods=["DELETE"]),
            ]
        )

    async def submit(self, req: Request) -> Response:
        """Accept a request, and hold the connection for its end if that is asked for."""
        limits = self._limits
        parsed = await read_model(
            req, SubmitBody, limits.max_body_bytes, limits.request_body_timeout_ms
        )
        if parsed.is_error():
            return self._count_refusal(parsed.error, "invalid")
        body, data = parsed.ok
        key = req.headers.get("idempotency-key", "")
        if len(key) > MAX_KEY_CHARS:
            detail = f"Idempotency-Key has at most {MAX_KEY_CHARS} characters"
            return problem(422, "invalid", detail)
        home = self._home(body, key)
        if home not in self._zones.names:
            known = ", ".join(self._zones.names)
            return problem(404, "unknown-zone", f"no zone is named {home}; there are {known}")
        return await self._submit_to(home, req, body, key, data)

    async def look(self, req: Request) -> Response:
        """Return a request from whichever zone issued its id."""
        request_id = req.path_params["id"]
        reply = await self._look(request_id, wait_ms(req, self._limits.max_wait_ms))
        return self._response(reply, fresh=False)

    async def cancel(self, req: Request) -> Response:
        """Cancel a request and return it with the stage that it had reached."""
        request_id = req.path_params["id"]
        home = zone_of_id(request_id)
        if home not in self._zones.names:
            return _unknown_request(request_id)
        message = pb.CancelRequest(request_id=request_id)
        reply = await self._zones.router(home).call(
            self._calls.cancel, message, PATIENCE_MS, PATIENCE_MS
        )
        return self._response(reply, fresh=False)

    def _home(self, body: SubmitBody, key: str) -> str:
        job = self._catalog.job(body.job)
        idempotent = job.idempotent if job is not None else True
        return home_zone(body.zone, body.team, key, idempotent, self._zone, self._zones.names)

    async def _submit_to(
        self, home: str, req: Request, body: SubmitBody, key: str, data: bytes
    ) -> Response:
        message = pb.SubmitRequest(
            id=new_id(home),
            team=body.team,
            job=body.job,
            key=key,
            body_digest=hashlib.sha256(canonical_json(data)).digest(),
            payload=body.payload,
            declared_run_ms=body.declared_run_ms or 0,
            deadline_ms=body.deadline_ms or 0,
            wait_ms=0,
        )
        if body.demand is not None:
            message.demand.CopyFrom(demand_to_pb(body.demand.to_demand()))
        held_ms = wait_ms(req, self._limits.max_wait_ms)
        message.wait_ms = min(held_ms, LOOK_SLICE_MS)
        until = time.monotonic() + held_ms / 1000
        reply = await self._call_submit(home, message, req)
        remaining_ms = int((until - time.monotonic()) * 1000)
        waits = reply.HasField("view") and not has_ended(reply.view) and remaining_ms > 0
        if waits and not self._is_stopping():
            reply = await self._look(reply.view.id, remaining_ms)
        return self._response(reply, fresh=True)

    async def _call_submit(
        self, home: str, message: pb.SubmitRequest, req: Request
    ) -> pb.RequestReply:
        """Submit, and cancel when the caller hangs up and has asked for that."""
        work = asyncio.ensure_future(
            self._zones.router(home).call(self._calls.submit, message, PATIENCE_MS, message.wait_ms)
        )
        wish = req.headers.get("agateferry-cancel-on-disconnect", "").lower() == "true"
        while wish and not work.done():
            await asyncio.wait({work}, timeout=DISCONNECT_POLL_S)
            if not work.done() and await req.is_disconnected():
                await self._cancel_abandoned(home, message.id)
                break
        reply: pb.RequestReply = await work
        return reply

    async def _cancel_abandoned(self, home: str, request_id: str) -> None:
        self._metrics.caller_hung_up(True)
        message = pb.CancelRequest(request_id=request_id)
        await self._zones.router(home).call(self._calls.cancel, message, PATIENCE_MS, PATIENCE_MS)

    async def _look(self, request_id: str, held_ms: int) -> pb.RequestReply:
        """Ask the owning zone again and again until the request ends or the wait is over.

        A planned stop ends the wait too: the caller gets the request as it stands and asks another
        host, in place of a connection that is cut.
        """
        home = zone_of_id(request_id)
        if home not in self._zones.names:
            refusal = pb.Refusal(reason="unknown-request", detail=f"no request {request_id}")
            return pb.RequestReply(refusal=refusal)
        until = time.monotonic() + held_ms / 1000
        while True:
            slice_ms = max(0, min(LOOK_SLICE_MS, int((until - time.monotonic()) * 1000)))
            message = pb.LookRequest(request_id=request_id, wait_ms=slice_ms)
            reply: pb.RequestReply = await self._zones.router(home).call(
                self._calls.get_request, message, PATIENCE_MS, slice_ms
            )
            ended = reply.HasField("view") and has_ended(reply.view)
            over = time.monotonic() >= until or self._is_stopping()
            if ended or over or reply.refusal.reason == "unknown-request":
                return reply

    def _response(self, reply: pb.RequestReply, fresh: bool) -> Response:
        if reply.HasField("refusal"):
            self._metrics.refused(reply.refusal.reason)
            return refusal_response(reply.refusal)
        ended = has_ended(reply.view)
        status = 202 if fresh and not ended else 200
        headers = {"Location": f"/v1/requests/{reply.view.id}"} if status == 202 else {}
        return JSONResponse(request_json(reply.view), status_code=status, headers=headers)

    def _count_refusal(self, resp: Response, reason: str) -> Response:
        self._metrics.refused(reason)
        return resp

    def _timed(self, handler: Handler) -> Handler:
        async def timed(req: Request) -> Response:
            began = time.monotonic()
            resp: Response = await handler(req)
            took_ms = (time.monotonic() - began) * 1000
            self._metrics.answered_http("callers", resp.status_code, took_ms)
            return resp

        return timed


def _unknown_request(request_id: str) -> Response:
    return problem(404, "unknown-request", f"no zone here issued an id like {request_id}")
