"""The faults that a stand-in worker can be told to show."""

import asyncio
import json
from enum import StrEnum

from aiohttp import web

LATE_S = 3.0
SLOW_SPEED = 0.1


class Behaviour(StrEnum):
    """Say how a worker treats its callers."""

    SOUND = "sound"
    SLOW = "slow"
    SILENT = "silent"
    FAILING = "failing"
    LATE = "late"
    TWICE = "twice"
    TRUNCATED = "truncated"
    WRONG = "wrong"


class Faults:
    """Spoil answers in the way that `behaviour` says, after the call had its effect."""

    def __init__(self, behaviour: Behaviour = Behaviour.SOUND) -> None:
        self._behaviour = behaviour
        self._changed = asyncio.Event()
        self._last_body = b"{}"

    @property
    def behaviour(self) -> Behaviour:
        """Return the behaviour that is in force."""
        return self._behaviour

    def switch(self, behaviour: Behaviour) -> None:
        """Put another behaviour in force; answers held by a silent worker are dropped."""
        self._behaviour = behaviour
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, req: web.Request, body: bytes, status: int) -> web.StreamResponse:
        """Send an answer as the behaviour in force would."""
        last_body, self._last_body = self._last_body, body
        match self._behaviour:
            case Behaviour.SILENT:
                await self._hold(req)
            case Behaviour.LATE:
                await asyncio.sleep(LATE_S)
            case Behaviour.TWICE:
                return await self._twice(req, body, status)
            case Behaviour.TRUNCATED:
                return await self._truncated(req, body, status)
            case Behaviour.WRONG:
                body = last_body
        return web.Response(body=body, status=status, content_type="application/json")

    async def _hold(self, req: web.Request) -> None:
        await self._changed.wait()
        if req.transport is not None:
            req.transport.close()

    async def _twice(self, req: web.Request, body: bytes, status: int) -> web.StreamResponse:
        resp = web.Response(body=body, status=status, content_type="application/json")
        await resp.prepare(req)
        await resp.write_eof()
        head = f"HTTP/1.1 {status} Again\r\nContent-Type: application/json\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        if req.transport is not None:
            req.transport.write(head.encode() + body)
        return resp

    async def _truncated(self, req: web.Request, body: bytes, status: int) -> web.StreamResponse:
        resp = web.StreamResponse(status=status)
        resp.content_type = "application/json"
        resp.content_length = len(body)
        await resp.prepare(req)
        await resp.write(body[: len(body) // 2])
        if req.transport is not None:
            req.transport.close()
        return resp


def problem(status: int, reason: str, detail: str) -> tuple[bytes, int]:
    """Return problem details and their status."""
    body = {"type": "about:blank", "status": status, "reason": reason, "detail": detail}
    return json.dumps(body).encode(), status
