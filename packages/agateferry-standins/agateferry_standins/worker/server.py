"""The HTTP face of a stand-in worker."""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from typing import Any

from aiohttp import web

from agateferry_standins.worker.behaviour import SLOW_SPEED, Behaviour, Faults, problem
from agateferry_standins.worker.leases import LeaseTable, Outcome
from agateferry_standins.worker.messages import Lease, LeaseRequest, Refusal, Task

MAX_WAIT_S = 600.0


class LeaseServer:
    """Turn HTTP calls into calls of the lease table.

    `on_change` is called whenever a lease may have changed, so that the worker can set its timer
    and announce itself.
    """

    def __init__(
        self, table: LeaseTable, incarnation: str, faults: Faults, on_change: Callable[[], None]
    ) -> None:
        self._table = table
        self._incarnation = incarnation
        self._faults = faults
        self._on_change = on_change
        self._waiters: dict[str, asyncio.Event] = {}
        self._waiting: Counter[str] = Counter()

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
        app.router.add_post("/control/behaviour", self._control)
        return app

    def wake(self, lease_id: str) -> bool:
        """Let calls go on that wait for the end of a lease; tell whether there were any."""
        waiter = self._waiters.pop(lease_id, None)
        if waiter is not None:
            waiter.set()
        return self._waiting[lease_id] > 0

    async def _reserve(self, req: web.Request) -> web.StreamResponse:
        body = await req.json()
        if body.get("incarnation") != self._incarnation:
            return await self._refuse(req, Refusal.WRONG_INCARNATION)
        asked = lease_request(req.match_info["lease"], body)
        outcome = self._table.reserve(asked, int(body["ttl_ms"]))
        self._on_change()
        return await self._tell(req, outcome)

    async def _start(self, req: web.Request) -> web.StreamResponse:
        body = await req.json()
        if body.get("incarnation") != self._incarnation:
            return await self._refuse(req, Refusal.WRONG_INCARNATION)
        asked = lease_request(req.match_info["lease"], body)
        outcome = self._table.start(
            asked,
            Task.parse(str(body["payload"])),
            body.get("checkpoint_step"),
            body.get("deadline_ms"),
        )
        self._on_change()
        return await self._tell_in_time(req, outcome)

    async def _get(self, req: web.Request) -> web.StreamResponse:
        outcome = self._table.get(req.match_info["lease"])
        self._on_change()
        return await self._tell_in_time(req, outcome)

    async def _checkpoint(self, req: web.Request) -> web.StreamResponse:
        outcome = self._table.checkpoint(req.match_info["lease"])
        self._on_change()
        return await self._tell(req, outcome)

    async def _throttle(self, req: web.Request) -> web.StreamResponse:
        share = float((await req.json())["share"])
        outcome = self._table.throttle(req.match_info["lease"], share)
        self._on_change()
        return await self._tell(req, outcome)

    async def _stop(self, req: web.Request) -> web.StreamResponse:
        lease = self._table.stop(req.match_info["lease"])
        self.wake(lease.asked.lease)
        self._on_change()
        return await self._faults.answer(req, lease_bytes(lease), 200)

    async def _release(self, req: web.Request) -> web.StreamResponse:
        self._table.release(req.match_info["lease"])
        self.wake(req.match_info["lease"])
        self._on_change()
        return web.Response(status=204)

    async def _control(self, req: web.Request) -> web.StreamResponse:
        self.behave(Behaviour((await req.json())["behaviour"]))
        return web.Response(status=204)

    def behave(self, behaviour: Behaviour) -> None:
        """Put a behaviour in force for calls and for tasks that start from now on."""
        self._faults.switch(behaviour)
        self._on_change()
        self._table.speed = SLOW_SPEED if behaviour is Behaviour.SLOW else 1.0
        self._table.failing = behaviour is Behaviour.FAILING
        self._on_change()

    async def _tell(self, req: web.Request, outcome: Outcome) -> web.StreamResponse:
        if outcome.is_error():
            return await self._refuse(req, outcome.error)
        return await self._faults.answer(req, lease_bytes(outcome.ok), 200)

    async def _tell_in_time(self, req: web.Request, outcome: Outcome) -> web.StreamResponse:
        if outcome.is_error():
            return await self._refuse(req, outcome.error)
        lease = outcome.ok
        await self._wait_for_end(lease, prefer_wait_s(req.headers.get("Prefer", "")))
        status = 200 if lease.final else 202
        return await self._faults.answer(req, lease_bytes(lease), status)

    async def _wait_for_end(self, lease: Lease, wait_s: float) -> None:
        if lease.final or wait_s <= 0:
            return
        lease_id = lease.asked.lease
        waiter = self._waiters.setdefault(lease_id, asyncio.Event())
        self._waiting[lease_id] += 1
        try:
            await asyncio.wait_for(waiter.wait(), wait_s)
        except TimeoutError:
            return
        finally:
            self._waiting[lease_id] -= 1
            if not self._waiting[lease_id]:
                del self._waiting[lease_id]

    async def _refuse(self, req: web.Request, refusal: Refusal) -> web.StreamResponse:
        status = 404 if refusal is Refusal.UNKNOWN_LEASE else 409
        body, status = problem(status, refusal, f"the worker refused: {refusal}")
        return await self._faults.answer(req, body, status)


def lease_bytes(lease: Lease) -> bytes:
    """Return a lease as the body of an answer."""
    return json.dumps(lease.as_json()).encode()


def lease_request(lease: str, body: dict[str, Any]) -> LeaseRequest:
    """Read the fields that reserve and start have in common."""
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
    """Return the seconds of `wait=S` in a Prefer header, 0 if there is none.

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
