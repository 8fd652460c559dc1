"""A stand-in caller that follows docs/api.md to the letter.

It sends each request with an Idempotency-Key and sends it again with the same key, to the next
entry host, when the connection is lost or the answer is 503. It follows 202 by the Location and
cancels by DELETE.
"""

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Any

import aiohttp

from agateferry_standins.callers.check import wrong_parts
from agateferry_standins.callers.messages import FINAL_STATES, End, RequestRecord
from agateferry_standins.callers.tally import Tally

WAIT_S = 10
CALL_SLACK_S = 5.0
RETRY_MIN_S = 0.05
RETRY_MAX_S = 1.0
UNKNOWN_LIMIT = 5


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer over HTTP; status 0 stands for a lost connection, `body` then says why."""

    status: int
    body: dict[str, Any]
    location: str = ""
    retry_after_s: float = 0.0

    @property
    def reason(self) -> str:
        """Return the reason of a refusal."""
        return str(self.body.get("reason", self.status))

    @property
    def final(self) -> bool:
        """Tell whether the body is a request that has reached its end."""
        return self.status == 200 and self.body.get("state") in FINAL_STATES


class Caller:
    """Send requests to entry hosts, or to a balancer, and note every outcome in a tally.

    `patience_s` bounds the time that one request is pursued; after it the request counts as lost.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        entries: list[str],
        tally: Tally,
        rng: random.Random,
        patience_s: float = 60.0,
    ) -> None:
        self._session = session
        self._entries = entries
        self._tally = tally
        self._rng = rng
        self._patience_s = patience_s
        self._turn = 0

    async def run(self, record: RequestRecord) -> None:
        """Take one request to its end."""
        self._tally.records.append(record)
        began = time.monotonic()
        cancel = self._rng.random() < record.kind.cancel_share
        resend = self._rng.random() < record.kind.resend_share
        try:
            async with asyncio.timeout(self._patience_s):
                reply = await self._submit(record, 0 if cancel else WAIT_S)
                if record.end is None and cancel and not reply.final:
                    await asyncio.sleep(self._rng.uniform(0, record.kind.run_ms / 1000))
                    reply = await self._cancel(record)
                if record.end is None:
                    await self._follow(record, reply)
                if resend and record.end is not None and record.accepted:
                    await self._resend(record)
        except TimeoutError:
            record.end = End.LOST
            record.detail = f"no final answer after {self._patience_s} s; {record.detail}"
            return
        if record.end is End.FINISHED:
            self._tally.timed(record.kind.urgency, int((time.monotonic() - began) * 1e6))

    async def _submit(self, record: RequestRecord, wait_s: int) -> Reply:
        """Send a request until it is accepted or refused for good."""
        while True:
            reply = await self._post(record, wait_s)
            if reply.status in (200, 202):
                record.accepted = True
                record.request_id = str(reply.body.get("id", ""))
                return reply
            if reply.status not in (0, 500, 503):
                self._tally.refused[reply.reason] += 1
                record.end = End.REFUSED
                record.answer = reply.body
                record.detail = reply.reason
                return reply
            await self._pause(record, reply)

    async def _follow(self, record: RequestRecord, reply: Reply) -> None:
        """Ask for a request until its end."""
        unknown = 0
        while not reply.final:
            path = f"/v1/requests/{record.request_id}"
            reply = await self._call("GET", path, wait_s=WAIT_S)
            if reply.status in (404, 410):
                unknown += 1
                if unknown >= UNKNOWN_LIMIT:
                    record.end = End.LOST
                    record.detail = f"accepted, then {reply.status} {reply.reason}"
                    return
            if reply.status not in (200, 202):
                await self._pause(record, reply)
        self._end(record, reply)

    async def _cancel(self, record: RequestRecord) -> Reply:
        """Cancel until the system has answered it."""
        while True:
            reply = await self._call("DELETE", f"/v1/requests/{record.request_id}")
            if reply.status in (200, 202, 404, 410):
                return reply
            await self._pause(record, reply)

    async def _resend(self, record: RequestRecord) -> None:
        """Send a request that has ended again; it must get the same answer."""
        while True:
            reply = await self._post(record, WAIT_S)
            if reply.final:
                break
            await self._pause(record, reply)
        first = {k: record.answer.get(k) for k in ("id", "state", "answer", "digest")}
        if first != {k: reply.body.get(k) for k in first}:
            self._tally.wrong.append(f"{record.key}: the resend got {reply.body}, not {first}")

    def _end(self, record: RequestRecord, reply: Reply) -> None:
        record.end = End(str(reply.body["state"]))
        record.answer = reply.body
        record.detail = str(reply.body.get("detail", ""))
        for what in wrong_parts(record, reply.body):
            self._tally.wrong.append(f"{record.key}: {what}")

    async def _pause(self, record: RequestRecord, reply: Reply) -> None:
        self._tally.retried[reply.reason if reply.status else "connection-lost"] += 1
        record.detail = f"{reply.status} {reply.reason}"
        pause_s = min(RETRY_MAX_S, max(RETRY_MIN_S, reply.retry_after_s))
        await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))

    async def _post(self, record: RequestRecord, wait_s: int) -> Reply:
        headers = {"Idempotency-Key": record.key}
        return await self._call("POST", "/v1/requests", wait_s, record.body(), headers)

    async def _call(
        self,
        method: str,
        path: str,
        wait_s: int = 0,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        entry = self._entries[self._turn % len(self._entries)]
        self._turn += 1
        headers = dict(headers or {})
        if wait_s:
            headers["Prefer"] = f"wait={wait_s}"
        timeout = aiohttp.ClientTimeout(total=wait_s + CALL_SLACK_S)
        try:
            async with self._session.request(
                method, f"http://{entry}{path}", json=body, headers=headers, timeout=timeout
            ) as resp:
                return Reply(
                    resp.status,
                    await resp.json(content_type=None) or {},
                    resp.headers.get("Location", ""),
                    _seconds(resp.headers.get("Retry-After", "")),
                )
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            return Reply(0, {"detail": repr(exc)})


def _seconds(retry_after: str) -> float:
    try:
        return float(retry_after)
    except ValueError:
        return 0.0
