"""The HTTP client for calls to workers."""

import hashlib
import json
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import quote

import aiohttp
from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from agateferry_core.metrics import Metrics
from agateferry_service.dispatch.messages import (
    LeaseState,
    LeaseView,
    WorkerError,
    WorkerErrorKind,
)
from agateferry_service.requests.state import NO_CHECKPOINT

CONNECTIONS_PER_WORKER = 48
CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0
WAIT_GRACE_MS = 1_000
MAX_ANSWER_BYTES = 4 * 1024 * 1024
PROBLEM_STATUSES = frozenset({404, 409, 421, 503})


@dataclass(frozen=True, slots=True)
class StartOrder:
    """What a worker needs to reserve resources for one member and to run it."""

    lease: str
    request_id: str
    attempt: int
    member: int
    members: int
    accelerators: int
    cpu_cores: int
    memory_mb: int
    incarnation: str
    job: str
    team: str
    payload: str
    checkpoint_step: int
    deadline_ms: int | None


class WorkerCalls(Protocol):
    """The calls that an attempt makes; tests replace them with a fake."""

    async def reserve(
        self, address: str, order: StartOrder, ttl_ms: int
    ) -> Result[LeaseView, WorkerError]:
        """Reserve resources for one member of a gang."""

    async def start(
        self, address: str, order: StartOrder, wait_ms: int
    ) -> Result[LeaseView, WorkerError]:
        """Start a member; a repeated call for the same lease does not start it again."""

    async def get_lease(self, address: str, lease: str) -> Result[LeaseView, WorkerError]:
        """Return the state of a lease, over a connection opened for this call only."""

    async def control(
        self, address: str, lease: str, action: str, reason: str = ""
    ) -> Result[LeaseView, WorkerError]:
        """Stop, checkpoint or throttle a lease, as `action` says."""


class LeaseBody(BaseModel):
    """The JSON body of a lease in a worker's reply."""

    model_config = ConfigDict(extra="ignore")

    lease: str
    state: LeaseState
    progress: float = Field(default=0.0, ge=0.0, le=1.0)
    checkpoint_step: int | None = None
    answer: str | None = None
    length: int | None = None
    digest: str | None = None
    error: str | None = None


class WorkerClient:
    """Call workers over pooled connections, and poll leases over fresh ones.

    A poll may follow a call that got no reply, so it must not depend on the same connection.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S, total=CALL_TIMEOUT_S)
        pooled = aiohttp.TCPConnector(limit=0, limit_per_host=CONNECTIONS_PER_WORKER)
        fresh = aiohttp.TCPConnector(limit=0, force_close=True)
        self._pooled = aiohttp.ClientSession(connector=pooled, timeout=timeout)
        self._fresh = aiohttp.ClientSession(connector=fresh, timeout=timeout)

    async def close(self) -> None:
        """Close every connection."""
        await self._pooled.close()
        await self._fresh.close()

    async def reserve(
        self, address: str, order: StartOrder, ttl_ms: int
    ) -> Result[LeaseView, WorkerError]:
        """Reserve resources for one member of a gang for `ttl_ms` milliseconds."""
        body = {**_reservation_body(order), "ttl_ms": ttl_ms}
        return await self._post(address, order.lease, "reserve", body)

    async def start(
        self, address: str, order: StartOrder, wait_ms: int
    ) -> Result[LeaseView, WorkerError]:
        """Start a member and wait up to `wait_ms` milliseconds for its end."""
        step = order.checkpoint_step
        body = {
            **_reservation_body(order),
            "job": order.job,
            "team": order.team,
            "payload": order.payload,
            "checkpoint_step": None if step == NO_CHECKPOINT else step,
            "deadline_ms": order.deadline_ms,
        }
        return await self._post(address, order.lease, "start", body, wait_ms)

    async def get_lease(self, address: str, lease: str) -> Result[LeaseView, WorkerError]:
        """Return the state of a lease, over a connection opened for this call only."""
        return await self._call(self._fresh, "GET", address, lease, "", None, 0)

    async def control(
        self, address: str, lease: str, action: str, reason: str = ""
    ) -> Result[LeaseView, WorkerError]:
        """Stop, checkpoint or throttle a lease."""
        return await self._post(address, lease, action, {"reason": reason})

    async def _post(
        self, address: str, lease: str, action: str, body: dict[str, Any], wait_ms: int = 0
    ) -> Result[LeaseView, WorkerError]:
        return await self._call(self._pooled, "POST", address, lease, action, body, wait_ms)

    async def _call(
        self,
        session: aiohttp.ClientSession,
        method: str,
        address: str,
        lease: str,
        action: str,
        body: dict[str, Any] | None,
        wait_ms: int,
    ) -> Result[LeaseView, WorkerError]:
        reply = await self._send(session, method, address, lease, action, body, wait_ms)
        if reply.is_error() and reply.error.kind is WorkerErrorKind.GARBLED:
            self._metrics.broken_answer(action or "look")
        if reply.is_error() and reply.error.kind is WorkerErrorKind.SILENT:
            self._metrics.silent_connection("worker")
        return reply

    async def _send(
        self,
        session: aiohttp.ClientSession,
        method: str,
        address: str,
        lease: str,
        action: str,
        body: dict[str, Any] | None,
        wait_ms: int,
    ) -> Result[LeaseView, WorkerError]:
        url = f"http://{address}/v1/leases/{quote(lease, safe='')}"
        if action:
            url = f"{url}/{action}"
        headers = {"Prefer": f"wait={wait_ms / 1000:g}"} if wait_ms else {}
        total_s = (wait_ms + WAIT_GRACE_MS) / 1000 if wait_ms else CALL_TIMEOUT_S
        timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S, total=total_s)
        try:
            async with session.request(
                method, url, json=body, headers=headers, timeout=timeout
            ) as resp:
                return parse_reply(lease, resp.status, await read_limited(resp))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            return Error(WorkerError(WorkerErrorKind.UNREACHED, detail=str(exc)))
        except aiohttp.ClientPayloadError as exc:
            return Error(WorkerError(WorkerErrorKind.GARBLED, detail=str(exc)))
        except ValueError as exc:
            # No worker has such an address, so nothing was sent. Earlier versions stored some.
            return Error(WorkerError(WorkerErrorKind.UNREACHED, detail=str(exc)))
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            return Error(WorkerError(WorkerErrorKind.SILENT, detail=str(exc) or "no reply"))


def parse_reply(lease: str, status: int, data: bytes) -> Result[LeaseView, WorkerError]:
    """Parse a reply and check that it is complete and about the requested lease."""
    if status in PROBLEM_STATUSES:
        return Error(_parse_problem(status, data))
    if status not in (200, 202):
        detail = f"status {status}"
        return Error(WorkerError(WorkerErrorKind.GARBLED, detail=detail))
    try:
        body = LeaseBody.model_validate_json(data)
    except ValidationError as exc:
        return Error(WorkerError(WorkerErrorKind.GARBLED, detail=str(exc.errors()[0]["msg"])))
    if body.lease != lease:
        detail = f"the reply is about lease {body.lease}"
        return Error(WorkerError(WorkerErrorKind.GARBLED, detail=detail))
    if body.state is LeaseState.FINISHED and not is_intact(body):
        return Error(WorkerError(WorkerErrorKind.GARBLED, detail="length or digest do not match"))
    step = NO_CHECKPOINT if body.checkpoint_step is None else body.checkpoint_step
    return Ok(
        LeaseView(lease, body.state, body.progress, step, body.answer or "", body.error or "")
    )


async def read_limited(resp: aiohttp.ClientResponse) -> bytes:
    """Read a body of at most MAX_ANSWER_BYTES bytes, or raise ClientPayloadError."""
    data = bytearray()
    async for chunk in resp.content.iter_any():
        data += chunk
        if len(data) > MAX_ANSWER_BYTES:
            raise aiohttp.ClientPayloadError(f"the body has more than {MAX_ANSWER_BYTES} bytes")
    return bytes(data)


def is_intact(body: LeaseBody) -> bool:
    """Return whether the answer matches the length and the digest in its reply."""
    if body.answer is None:
        return False
    data = body.answer.encode()
    return len(data) == body.length and hashlib.sha256(data).hexdigest() == body.digest


def _reservation_body(order: StartOrder) -> dict[str, Any]:
    return {
        "request_id": order.request_id,
        "attempt": order.attempt,
        "member": order.member,
        "members": order.members,
        "accelerators": order.accelerators,
        "cpu_cores": order.cpu_cores,
        "memory_mb": order.memory_mb,
        "incarnation": order.incarnation,
    }


def _parse_problem(status: int, data: bytes) -> WorkerError:
    try:
        body = json.loads(data)
    except ValueError:
        body = {}
    fields = body if isinstance(body, dict) else {}
    reason = str(fields.get("reason", ""))
    detail = str(fields.get("detail", ""))
    if status == 404 and reason == WorkerErrorKind.UNKNOWN_LEASE:
        return WorkerError(WorkerErrorKind.UNKNOWN_LEASE, reason, detail)
    return WorkerError(WorkerErrorKind.REFUSED, reason or f"status-{status}", detail)
