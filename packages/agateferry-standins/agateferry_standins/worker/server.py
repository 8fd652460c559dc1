"""The HTTP interface of a stand-in worker."""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from typing import Any

from aiohttp import web

from agateferry_standins.worker.behaviour import (
    SLOW_SPEED_FACTOR,
    Behaviour,
    FaultInjector,
    problem,
)
from agateferry_standins.worker.leases import LeaseResult, LeaseTable
from agateferry_standins.worker.messages import Lease, LeaseRequest, Refusal, Task

MAX_WAIT_S = 600.0


class LeaseServer:
    """Serve the lease table over HTTP.

    `on_change` is called whenever a lease may have changed, so that the worker can set its timer
    and send a heartbeat.
    """

    def __init__(
        self,
        table: LeaseTable,
        incarnation: str,
        faults: FaultInjector,
        on_change: Callable[[], None],
    ) -> None:
        self._table = table
        self._incarnation = incarnation
        self._faults = faults
        self._on_change = on_change
        self._waiters: dict[str, asyncio.Event] = {}
        self._waiter_counts: Counter[str] = Counter()

    def app(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application()
        path = "/v1/leases/{lease}"
        app.router.add_post(path + "/reserve", self._reserve)
        app.router.add_post(path + "/start", self._start)
        app.router.add_get(path, self._get)
        app.router.add_post(path + "/checkpoint", self._checkpoint)
        app.router.add_post(path + "/throttle", self._throttle)
        app.router.add_post(path + "/stop", self._stop)
        app.router.add_post(path + "/release", self._release)
        app.router.add_post("/control/behaviour", self._set_behaviour)
        return app

    def wake_waiters(self, lease_id: str) -> bool:
        """Wake the calls that wait for the end of a lease; return whether there were any."""
        waiter = self._waiters.pop(lease_id, None)
        if waiter is not None:
            waiter.set()
        return self._waiter_counts[lease_id] > 0

    async def _reserve(self, req: web.Request) -> web.StreamResponse:
        body = await req.json()
        if body.get("incarnation") != self._incarnation:
            return await self._refuse(req, Refusal.WRONG_INCARNATION)
        lease_request = parse_lease_request(req.match_info["lease"], body)
        result = self._table.reserve(lease_request, int(body["ttl_ms"]))
        self._on_change()
        return await self._reply(req, result)

    async def _start(self, req: web.Request) -> web.StreamResponse:
        body = await req.json()
        if body.get("incarnation") != self._incarnation:
            return await self._refuse(req, Refusal.WRONG_INCARNATION)
        lease_request = parse_lease_request(req.match_info["lease"], body)
        result = self._table.start(
            lease_request,
            Task.parse(str(body["payload"])),
            body.get("checkpoint_step"),
            body.get("deadline_ms"),
        )
        self._on_change()
        return await self._reply_after_wait(req, result)

    async def _get(self, req: web.Request) -> web.StreamResponse:
        result = self._table.get(req.match_info["lease"])
        self._on_change()
        return await self._reply_after_wait(req, result)

    async def _checkpoint(self, req: web.Request) -> web.StreamResponse:
        result = self._table.checkpoint(req.match_info["lease"])
        self._on_change()
        return await self._reply(req, result)

    async def _throttle(self, req: web.Request) -> web.StreamResponse:
        share = float((await req.json())["share"])
        result = self._table.throttle(req.match_info["lease"], share)
        self._on_change()
        return await self._reply(req, result)

    async def _stop(self, req: web.Request) -> web.StreamResponse:
        lease = self._table.stop(req.match_info["lease"])
        self.wake_waiters(lease.request.lease)
        self._on_change()
        return await self._faults.send_reply(req, lease_bytes(lease), 200)

    async def _release(self, req: web.Request) -> web.StreamResponse:
        self._table.release(req.match_info["lease"])
        self.wake_waiters(req.match_info["lease"])
        self._on_change()
        return web.Response(status=204)

    async def _set_behaviour(self, req: web.Request) -> web.StreamResponse:
        self.set_behaviour(Behaviour((await req.json())["behaviour"]))
        return web.Response(status=204)

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Change the behaviour; tasks that already run change their speed but not their end."""
        self._faults.set_behaviour(behaviour)
        self._on_change()
        self._table.speed = SLOW_SPEED_FACTOR if behaviour is Behaviour.SLOW else 1.0
        self._table.failing = behaviour is Behaviour.FAILING
        self._on_change()

    async def _reply(self, req: web.Request, result: LeaseResult) -> web.StreamResponse:
        if result.is_error():
            return await self._refuse(req, result.error)
        return await self._faults.send_reply(req, lease_bytes(result.ok), 200)

    async def _reply_after_wait(self, req: web.Request, result: LeaseResult) -> web.StreamResponse:
        if result.is_error():
            return await self._refuse(req, result.error)
        lease = result.ok
        await self._wait_for_end(lease, prefer_wait_s(req.headers.get("Prefer", "")))
        status = 200 if lease.final else 202
        return await self._faults.send_reply(req, lease_bytes(lease), status)

    async def _wait_for_end(self, lease: Lease, wait_s: float) -> None:
        if lease.final or wait_s <= 0:
            return
        lease_id = lease.request.lease
        waiter = self._waiters.setdefault(lease_id, asyncio.Event())
        self._waiter_counts[lease_id] += 1
        try:
            await asyncio.wait_for(waiter.wait(), wait_s)
        except TimeoutError:
            return
        finally:
            self._waiter_counts[lease_id] -= 1
            if not self._waiter_counts[lease_id]:
                del self._waiter_counts[lease_id]

    async def _refuse(self, req: web.Request, refusal: Refusal) -> web.StreamResponse:
        status = 404 if refusal is Refusal.UNKNOWN_LEASE else 409
        body, status = problem(status, refusal, f"the worker refused: {refusal}")
        return await self._faults.send_reply(req, body, status)


def lease_bytes(lease: Lease) -> bytes:
    """Return a lease as the JSON body of a reply."""
    return json.dumps(lease.as_json()).encode()


def parse_lease_request(lease: str, body: dict[str, Any]) -> LeaseRequest:
    """Parse the fields that the bodies of reserve and start have in common."""
    return LeaseRequest(
        lease=lease,
        request_id=str(body["request_id"]),
        attempt=int(body["attempt"]),
        member=int(body["member"]),
        members=int(body["members"]),
        accelerators=int(body["accelerators"]),
        cpu_cores=int(body["cpu_cores"]),
        memory_mb=int(body["memory_mb"]),
        job=str(body.get("job", "")),
    )


def prefer_wait_s(prefer: str) -> float:
    """Return the seconds of `wait=S` in a Prefer header, at most `MAX_WAIT_S`, 0 if there is none.

    For example `prefer_wait_s("respond-async, wait=2.5")` gives 2.5.
    """
    for part in prefer.split(","):
        name, _, value = part.strip().partition("=")
        if name == "wait":
            try:
                return min(MAX_WAIT_S, max(0.0, float(value)))
            except ValueError:
                return 0.0
    return 0.0
