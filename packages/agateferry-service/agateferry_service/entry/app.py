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
from agateferry_scheduling.scheduler.messages import RejectReason
from agateferry_service.cell.catalog import Catalog
from agateferry_service.cell.evacuation import evacuated_refusal
from agateferry_service.cell.refusals import RefusalReason
from agateferry_service.entry.home_zone import home_zone, new_id, other_zones, zone_of_id
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
CALL_TIMEOUT_MS = 5_000
MAX_CALL_WAIT_MS = 5_000
DISCONNECT_POLL_INTERVAL_S = 0.25

REASONS_TO_TRY_ANOTHER_ZONE = frozenset({RefusalReason.ZONE_EVACUATED, RejectReason.INFEASIBLE})

Handler = Callable[[Request], Awaitable[Response]]


class CallersApp:
    """Serve callers by calls to the cell of the zone that owns each request."""

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
                Route("/v1/requests/{id}", self._timed(self.get_request), methods=["GET"]),
                Route("/v1/requests/{id}", self._timed(self.cancel), methods=["DELETE"]),
            ]
        )

    async def submit(self, req: Request) -> Response:
        """Submit a request, and wait for its end for as long as `Prefer: wait` says."""
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
        zone = self._owning_zone(body, key)
        if zone not in self._zones.names:
            known = ", ".join(self._zones.names)
            return problem(404, "unknown-zone", f"no zone is named {zone}; there are {known}")
        return await self._submit_to(zone, req, body, key, data)

    async def get_request(self, req: Request) -> Response:
        """Return a request from the zone that issued its id, whichever that is."""
        request_id = req.path_params["id"]
        reply = await self._poll_until_ended(request_id, wait_ms(req, self._limits.max_wait_ms))
        return self._response(reply, is_new=False)

    async def cancel(self, req: Request) -> Response:
        """Cancel a request and return it with the last stage that it reached."""
        request_id = req.path_params["id"]
        zone = zone_of_id(request_id)
        if zone not in self._zones.names:
            return _unknown_request(request_id)
        message = pb.CancelRequest(request_id=request_id)
        reply = await self._zones.router(zone).call(
            self._calls.cancel, message, CALL_TIMEOUT_MS, CALL_TIMEOUT_MS
        )
        return self._response(reply, is_new=False)

    def _owning_zone(self, body: SubmitBody, key: str) -> str:
        """Return the zone whose cell owns a submission.

        A job that this host has no record of counts as not idempotent: a host that has just
        restarted may not have its copy of the records yet, and a resend must reach the zone of its
        key all the same.
        """
        idempotent = self._is_idempotent(body)
        return home_zone(body.zone, body.team, key, idempotent, self._zone, self._zones.names)

    def _is_idempotent(self, body: SubmitBody) -> bool:
        job = self._catalog.job(body.job)
        return job is not None and job.idempotent

    async def _submit_to(
        self, zone: str, req: Request, body: SubmitBody, key: str, data: bytes
    ) -> Response:
        message = pb.SubmitRequest(
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
        total_wait_ms = wait_ms(req, self._limits.max_wait_ms)
        message.wait_ms = min(total_wait_ms, MAX_CALL_WAIT_MS)
        deadline_s = time.monotonic() + total_wait_ms / 1000
        reply = await self._submit_or_move(zone, message, req, body)
        remaining_ms = int((deadline_s - time.monotonic()) * 1000)
        may_wait = reply.HasField("view") and not has_ended(reply.view) and remaining_ms > 0
        if may_wait and not self._is_stopping():
            reply = await self._poll_until_ended(reply.view.id, remaining_ms)
        return self._response(reply, is_new=True)

    async def _submit_or_move(
        self, home: str, message: pb.SubmitRequest, req: Request, body: SubmitBody
    ) -> pb.RequestReply:
        """Submit a request to its home zone or, while that is evacuated, to another if it is safe.

        It is safe for an idempotent request whose caller names no zone. One with a key still asks
        its home zone first, which may have accepted it before; one without skips a home zone that
        is known to be evacuated, as its cell may not answer any more.
        """
        may_move = body.zone is None and self._is_idempotent(body)
        evacuation = self._catalog.evacuation(home)
        if may_move and evacuation is not None and not message.key:
            reply = pb.RequestReply(refusal=evacuated_refusal(home, evacuation))
        else:
            reply = await self._submit_copy(home, message, req)
        if reply.refusal.reason != RefusalReason.ZONE_EVACUATED or not may_move:
            return reply
        spread_by = message.key or new_id(home)
        for zone in other_zones(home, body.team, spread_by, self._zones.names):
            if self._catalog.evacuation(zone) is not None:
                continue
            self._metrics.retried(RefusalReason.ZONE_EVACUATED)
            moved = await self._submit_copy(zone, message, req)
            if moved.refusal.reason not in REASONS_TO_TRY_ANOTHER_ZONE:
                return moved
        return reply

    async def _submit_copy(
        self, zone: str, message: pb.SubmitRequest, req: Request
    ) -> pb.RequestReply:
        """Submit a copy of a request to a zone, with an id of that zone."""
        copy = pb.SubmitRequest()
        copy.CopyFrom(message)
        copy.id = new_id(zone)
        return await self._call_submit(zone, copy, req)

    async def _call_submit(
        self, zone: str, message: pb.SubmitRequest, req: Request
    ) -> pb.RequestReply:
        """Submit a request to its zone.

        If the caller set `Agateferry-Cancel-On-Disconnect: true` and disconnects before the reply,
        the request is cancelled.
        """
        submission = asyncio.ensure_future(
            self._zones.router(zone).call(
                self._calls.submit, message, CALL_TIMEOUT_MS, message.wait_ms
            )
        )
        cancel_on_disconnect = (
            req.headers.get("agateferry-cancel-on-disconnect", "").lower() == "true"
        )
        while cancel_on_disconnect and not submission.done():
            await asyncio.wait({submission}, timeout=DISCONNECT_POLL_INTERVAL_S)
            if not submission.done() and await req.is_disconnected():
                await self._cancel_abandoned(zone, message.id)
                break
        reply: pb.RequestReply = await submission
        return reply

    async def _cancel_abandoned(self, zone: str, request_id: str) -> None:
        self._metrics.caller_hung_up(True)
        message = pb.CancelRequest(request_id=request_id)
        await self._zones.router(zone).call(
            self._calls.cancel, message, CALL_TIMEOUT_MS, CALL_TIMEOUT_MS
        )

    async def _poll_until_ended(self, request_id: str, total_wait_ms: int) -> pb.RequestReply:
        """Poll the zone that owns a request until it ends or `total_wait_ms` have passed.

        A graceful stop of this host ends the wait too: the caller gets the request's current state
        and can poll another host, whereas a closed connection would leave it without a reply.
        """
        zone = zone_of_id(request_id)
        if zone not in self._zones.names:
            refusal = pb.Refusal(reason="unknown-request", detail=f"no request {request_id}")
            return pb.RequestReply(refusal=refusal)
        deadline_s = time.monotonic() + total_wait_ms / 1000
        while True:
            call_wait_ms = max(
                0, min(MAX_CALL_WAIT_MS, int((deadline_s - time.monotonic()) * 1000))
            )
            message = pb.LookRequest(request_id=request_id, wait_ms=call_wait_ms)
            reply: pb.RequestReply = await self._zones.router(zone).call(
                self._calls.get_request, message, CALL_TIMEOUT_MS, call_wait_ms
            )
            ended = reply.HasField("view") and has_ended(reply.view)
            wait_is_over = time.monotonic() >= deadline_s or self._is_stopping()
            if ended or wait_is_over or reply.refusal.reason == "unknown-request":
                return reply

    def _response(self, reply: pb.RequestReply, is_new: bool) -> Response:
        if reply.HasField("refusal"):
            self._metrics.refused(reply.refusal.reason)
            return refusal_response(reply.refusal)
        ended = has_ended(reply.view)
        status = 202 if is_new and not ended else 200
        headers = {"Location": f"/v1/requests/{reply.view.id}"} if status == 202 else {}
        return JSONResponse(request_json(reply.view), status_code=status, headers=headers)

    def _count_refusal(self, resp: Response, reason: str) -> Response:
        self._metrics.refused(reason)
        return resp

    def _timed(self, handler: Handler) -> Handler:
        async def timed(req: Request) -> Response:
            started_s = time.monotonic()
            resp: Response = await handler(req)
            took_ms = (time.monotonic() - started_s) * 1000
            self._metrics.answered_http("callers", resp.status_code, took_ms)
            return resp

        return timed


def _unknown_request(request_id: str) -> Response:
    return problem(404, "unknown-request", f"the id {request_id} names no zone of this system")
