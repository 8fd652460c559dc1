"""Operators' evacuations of zones, which are kept as records of the kind `evacuation`.

A call reads the zone's record and replaces just that version, so that of two operators one changes
it and the other finds it changed. A call that finds the zone in the state that it asks for changes
nothing and is acknowledged too, so that it can be sent again after a lost answer.
"""

import asyncio
import json
from typing import Any

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from agateferry_core.clock import Clock
from agateferry_core.logs import EventLogger
from agateferry_core.metrics import Metrics
from agateferry_service.cell.refusals import RETRY_AFTER_MS, RefusalReason, refusal
from agateferry_service.http.bodies import read_optional_model
from agateferry_service.http.problems import problem, refusal_response
from agateferry_service.operators.events import ZONE_EVACUATED, ZONE_READMITTED
from agateferry_service.operators.records_reader import RecordsReader
from agateferry_service.routing.calls import CellCalls, RecordsCalls
from agateferry_service.routing.zone_routers import ZoneRouters
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_service.settings import LimitSettings
from agateferry_state.records import Kind, Schema

PUT_TIMEOUT_MS = 5_000
CELL_QUERY_TIMEOUT_MS = 1_500
MAX_REQUESTED_BY_CHARS = 64
MAX_CONFLICTS = 8
"""How many times a change is tried while other operators change the same record."""


class EvacuationBody(BaseModel):
    """The body of an evacuation or a readmission, which may be left out."""

    model_config = ConfigDict(extra="forbid", strict=True)

    requested_by: str = Field(default="", max_length=MAX_REQUESTED_BY_CHARS)


class Evacuations:
    """Evacuate and readmit zones, and list the evacuated ones with what still runs there."""

    def __init__(
        self,
        zones: ZoneRouters,
        cell_calls: CellCalls,
        records_calls: RecordsCalls,
        records: RecordsReader,
        limits: LimitSettings,
        metrics: Metrics,
        clock: Clock,
        log: EventLogger,
    ) -> None:
        self._zones = zones
        self._cell_calls = cell_calls
        self._records_calls = records_calls
        self._records = records
        self._limits = limits
        self._metrics = metrics
        self._clock = clock
        self._log = log

    def routes(self) -> list[Route]:
        """Return the routes on the operators' port."""
        return [
            Route("/v1/evacuations", self.list_evacuated, methods=["GET"]),
            Route("/v1/evacuations/{zone}", self.evacuate, methods=["POST"]),
            Route("/v1/evacuations/{zone}", self.readmit, methods=["DELETE"]),
        ]

    async def evacuate(self, req: Request) -> Response:
        """Evacuate a zone: nothing new starts on its workers, and what runs goes on."""
        return await self._change(req, evacuated=True)

    async def readmit(self, req: Request) -> Response:
        """Let work start in a zone again."""
        return await self._change(req, evacuated=False)

    async def list_evacuated(self, req: Request) -> Response:
        """List the evacuated zones; `Agateferry-Stale` says that this zone's copy was read."""
        reply, is_stale = await self._records.read("list", Kind.EVACUATION, "", Schema.V2)
        if reply.HasField("refusal"):
            return refusal_response(reply.refusal)
        records = [
            record
            for record in json.loads(reply.body)["records"]
            if record["content"]["evacuated"] and record["name"] in self._zones.names
        ]
        states = await asyncio.gather(*(self._state_of_zone(record["name"]) for record in records))
        listed = [_document(record) | state for record, state in zip(records, states, strict=True)]
        resp = JSONResponse({"evacuations": listed})
        if is_stale:
            resp.headers["Agateferry-Stale"] = "true"
        return resp

    async def _change(self, req: Request, evacuated: bool) -> Response:
        zone = req.path_params["zone"]
        if zone not in self._zones.names:
            self._metrics.refused(RefusalReason.UNKNOWN_ZONE)
            known = ", ".join(self._zones.names)
            detail = f"no zone is named {zone}; there are {known}; nothing was changed"
            return problem(404, RefusalReason.UNKNOWN_ZONE, detail, run=None)
        limits = self._limits
        body = await read_optional_model(
            req, EvacuationBody, limits.max_body_bytes, limits.request_body_timeout_ms
        )
        if body.is_error():
            return body.error
        content = {
            "evacuated": evacuated,
            "since_ms": self._clock.wall_ms(),
            "requested_by": body.ok.requested_by or _address_of(req),
        }
        changed = await self._put_unless_so(zone, content, req)
        if changed.is_error():
            return refusal_response(changed.error)
        return JSONResponse(changed.ok)

    async def _put_unless_so(
        self, zone: str, content: dict[str, Any], req: Request
    ) -> Result[dict[str, Any], pb.Refusal]:
        """Bring a zone into a state unless it is in it, and return the record that stands.

        Before each put the caller must still be connected: a host that was suspended may find a
        call that its caller has since sent elsewhere and reversed.
        """
        for _ in range(MAX_CONFLICTS):
            read = await self._read_current(zone)
            if read.is_error():
                return Error(read.error)
            current = read.ok
            if current["content"]["evacuated"] == content["evacuated"]:
                return Ok(_document(current) | {"changed": False})
            if await req.is_disconnected():
                self._metrics.caller_hung_up(True)
                return Error(_gone())
            reply = await self._put(zone, content, current["version"])
            if not reply.HasField("refusal"):
                stored = json.loads(reply.body)
                self._log_change(zone, stored)
                return Ok(_document(stored) | {"changed": True})
            if reply.refusal.reason != RefusalReason.VERSION_CONFLICT:
                return Error(reply.refusal)
            self._metrics.retried(RefusalReason.VERSION_CONFLICT)
        detail = f"other operators keep changing the evacuation of {zone}; nothing was changed"
        return Error(refusal(RefusalReason.VERSION_CONFLICT, detail, RETRY_AFTER_MS))

    async def _read_current(self, zone: str) -> Result[dict[str, Any], pb.Refusal]:
        """Return the newest record of a zone, or version 0 of one that was never evacuated."""
        reply = await self._records.read_newest("get", Kind.EVACUATION, zone, Schema.V2)
        if not reply.HasField("refusal"):
            return Ok(json.loads(reply.body))
        if reply.refusal.reason != RefusalReason.UNKNOWN_RECORD:
            detail = "the records plane does not answer; nothing was changed"
            return Error(refusal(RefusalReason.NO_LEADER, detail, RETRY_AFTER_MS))
        never = {"evacuated": False, "since_ms": 0, "requested_by": ""}
        return Ok({"name": zone, "version": 0, "revision": 0, "content": never})

    async def _put(self, zone: str, content: dict[str, Any], replaces: int) -> pb.QueryReply:
        message = pb.PutRecordRequest(
            kind=Kind.EVACUATION,
            name=zone,
            schema=Schema.V2,
            replaces=replaces,
            content=json.dumps(content),
        )
        put = self._records_calls.put
        reply: pb.QueryReply = await self._zones.records.call(put, message, PUT_TIMEOUT_MS)
        return reply

    async def _state_of_zone(self, zone: str) -> dict[str, Any]:
        """Return whether the evacuation is in force in a zone, and what is left there, if known."""
        message = pb.QueryRequest(what="evacuation")
        reply = await self._zones.router(zone).call(
            self._cell_calls.query, message, CELL_QUERY_TIMEOUT_MS
        )
        if reply.HasField("refusal"):
            return {"in_force": None, "running": None, "queued": None}
        state = json.loads(reply.body)
        return {
            "in_force": state["evacuated"],
            "running": state["running"],
            "queued": state["queued"],
        }

    def _log_change(self, zone: str, record: dict[str, Any]) -> None:
        content = record["content"]
        event = ZONE_EVACUATED if content["evacuated"] else ZONE_READMITTED
        self._log.info(
            event,
            changed_zone=zone,
            requested_by=content["requested_by"],
            revision=record["revision"],
        )


def _document(record: dict[str, Any]) -> dict[str, Any]:
    """Return the JSON document of an evacuation from its record."""
    return {
        "zone": record["name"],
        **record["content"],
        "version": record["version"],
        "revision": record["revision"],
    }


def _address_of(req: Request) -> str:
    return req.client.host if req.client is not None else ""


def _gone() -> pb.Refusal:
    detail = "the caller closed its connection before the change; nothing was changed"
    return refusal(RefusalReason.CALLER_GONE, detail, RETRY_AFTER_MS)
