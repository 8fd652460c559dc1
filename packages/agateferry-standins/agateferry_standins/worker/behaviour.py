"""The faults that a stand-in worker can inject into its replies."""

import asyncio
import json
from enum import StrEnum

from aiohttp import web

LATE_REPLY_DELAY_S = 3.0
SLOW_SPEED_FACTOR = 0.1


class Behaviour(StrEnum):
    """How a worker runs its tasks and replies to calls."""

    SOUND = "sound"
    """It shows no fault."""

    SLOW = "slow"
    """Its tasks run at `SLOW_SPEED_FACTOR` of their speed."""

    SILENT = "silent"
    """It does not reply; the connection is closed when the behaviour changes."""

    FAILING = "failing"
    """Every task that starts fails at its end."""

    LATE = "late"
    """It replies after `LATE_REPLY_DELAY_S`."""

    TWICE = "twice"
    """It sends each reply twice on the same connection."""

    TRUNCATED = "truncated"
    """It sends half of the body and closes the connection."""

    WRONG = "wrong"
    """It sends the body of its previous reply."""


class FaultInjector:
    """Send the replies of a worker with the fault of the current behaviour.

    The call has already taken effect when its reply is delayed, dropped or altered.
    """

    def __init__(self, behaviour: Behaviour = Behaviour.SOUND) -> None:
        self._behaviour = behaviour
        self._behaviour_changed = asyncio.Event()
        self._last_body = b"{}"

    @property
    def behaviour(self) -> Behaviour:
        """Return the current behaviour."""
        return self._behaviour

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Change the behaviour and close connections that wait for a silent worker's reply."""
        self._behaviour = behaviour
        self._behaviour_changed.set()
        self._behaviour_changed = asyncio.Event()

    async def send_reply(self, req: web.Request, body: bytes, status: int) -> web.StreamResponse:
        """Send a JSON reply with the fault of the current behaviour."""
        last_body, self._last_body = self._last_body, body
        match self._behaviour:
            case Behaviour.SILENT:
                await self._close_on_change(req)
            case Behaviour.LATE:
                await asyncio.sleep(LATE_REPLY_DELAY_S)
            case Behaviour.TWICE:
                return await self._send_twice(req, body, status)
            case Behaviour.TRUNCATED:
                return await self._send_truncated(req, body, status)
            case Behaviour.WRONG:
                body = last_body
        return web.Response(body=body, status=status, content_type="application/json")

    async def _close_on_change(self, req: web.Request) -> None:
        await self._behaviour_changed.wait()
        if req.transport is not None:
            req.transport.close()

    async def _send_twice(self, req: web.Request, body: bytes, status: int) -> web.StreamResponse:
        resp = web.Response(body=body, status=status, content_type="application/json")
        await resp.prepare(req)
        await resp.write_eof()
        head = f"HTTP/1.1 {status} Again\r\nContent-Type: application/json\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        if req.transport is not None:
            req.transport.write(head.encode() + body)
        return resp

    async def _send_truncated(
        self, req: web.Request, body: bytes, status: int
    ) -> web.StreamResponse:
        resp = web.StreamResponse(status=status)
        resp.content_type = "application/json"
        resp.content_length = len(body)
        await resp.prepare(req)
        await resp.write(body[: len(body) // 2])
        if req.transport is not None:
            req.transport.close()
        return resp


def problem(status: int, reason: str, detail: str) -> tuple[bytes, int]:
    """Return the body of a problem-details reply and its HTTP status."""
    body = {"type": "about:blank", "status": status, "reason": reason, "detail": detail}
    return json.dumps(body).encode(), status
