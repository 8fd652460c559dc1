"""A stand-in caller that follows docs/api.md.

It submits each request with an Idempotency-Key and sends it again with the same key, to the next
entry host, when the connection is lost or the reply is 500 or 503. After 202 it polls the request
until it ends; it cancels with DELETE.
"""

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Any

import aiohttp

from agateferry_standins.callers.check import find_mismatches
from agateferry_standins.callers.messages import FINAL_STATES, RequestOutcome, RequestRecord
from agateferry_standins.callers.tally import Tally

PREFER_WAIT_S = 10
CALL_TIMEOUT_MARGIN_S = 5.0
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0
MAX_UNKNOWN_REPLIES = 5


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP reply; status 0 means a lost connection, with the cause in `body`."""

    status: int
    body: dict[str, Any]
    location: str = ""
    retry_after_s: float = 0.0

    @property
    def reason(self) -> str:
        """Return the reason of a refusal, or the status if there is none."""
        return str(self.body.get("reason", self.status))

    @property
    def is_final(self) -> bool:
        """Return whether the body is a request in a final state."""
        return self.status == 200 and self.body.get("state") in FINAL_STATES


class Caller:
    """Send requests to entry hosts or a balancer, in turn, and record every outcome in a tally.

    A request without a final answer `timeout_s` after its first submission counts as lost.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        entries: list[str],
        tally: Tally,
        rng: random.Random,
        timeout_s: float = 60.0,
    ) -> None:
        self._session = session
        self._entries = entries
        self._tally = tally
        self._rng = rng
        self._timeout_s = timeout_s
        self._next_index = 0

    async def run(self, record: RequestRecord) -> None:
        """Submit one request until it ends; cancel or resend it with the shares of its kind."""
        self._tally.records.append(record)
        started_s = time.monotonic()
        cancel = self._rng.random() < record.kind.cancel_share
        resend = self._rng.random() < record.kind.resend_share
        try:
            async with asyncio.timeout(self._timeout_s):
                reply = await self._submit(record, 0 if cancel else PREFER_WAIT_S)
                if record.outcome is None and cancel and not reply.is_final:
                    await asyncio.sleep(self._rng.uniform(0, record.kind.run_ms / 1000))
                    reply = await self._cancel(record)
                if record.outcome is None:
                    await self._poll_until_final(record, reply)
                if resend and record.outcome is not None and record.accepted:
                    await self._resend(record)
        except TimeoutError:
            record.outcome = RequestOutcome.LOST
            record.detail = f"no final answer after {self._timeout_s} s; {record.detail}"
            return
        if record.outcome is RequestOutcome.FINISHED:
            self._tally.record_latency(
                record.kind.urgency, int((time.monotonic() - started_s) * 1e6)
            )

    async def _submit(self, record: RequestRecord, wait_s: int) -> Reply:
        """Submit a request, with retries, until it is accepted or refused."""
        while True:
            reply = await self._post(record, wait_s)
            if reply.status in (200, 202):
                record.accepted = True
                record.request_id = str(reply.body.get("id", ""))
                return reply
            if reply.status not in (0, 500, 503):
                self._tally.refused[reply.reason] += 1
                record.outcome = RequestOutcome.REFUSED
                record.answer = reply.body
                record.detail = reply.reason
                return reply
            await self._wait_before_retry(record, reply)

    async def _poll_until_final(self, record: RequestRecord, reply: Reply) -> None:
        """Poll a request until it ends or is repeatedly unknown, and record its outcome."""
        unknown_replies = 0
        while not reply.is_final:
            path = f"/v1/requests/{record.request_id}"
            reply = await self._call("GET", path, wait_s=PREFER_WAIT_S)
            if reply.status in (404, 410):
                unknown_replies += 1
                if unknown_replies >= MAX_UNKNOWN_REPLIES:
                    record.outcome = RequestOutcome.LOST
                    record.detail = f"accepted, then {reply.status} {reply.reason}"
                    return
            if reply.status not in (200, 202):
                await self._wait_before_retry(record, reply)
        self._record_end(record, reply)

    async def _cancel(self, record: RequestRecord) -> Reply:
        """Cancel a request, with retries until it is accepted or the request is unknown."""
        while True:
            reply = await self._call("DELETE", f"/v1/requests/{record.request_id}")
            if reply.status in (200, 202, 404, 410):
                return reply
            await self._wait_before_retry(record, reply)

    async def _resend(self, record: RequestRecord) -> None:
        """Submit a request again after it has ended; it must get the same answer."""
        while True:
            reply = await self._post(record, PREFER_WAIT_S)
            if reply.is_final:
                break
            await self._wait_before_retry(record, reply)
        first = {k: record.answer.get(k) for k in ("id", "state", "answer", "digest")}
        if first != {k: reply.body.get(k) for k in first}:
            self._tally.mismatches.append(f"{record.key}: the resend got {reply.body}, not {first}")

    def _record_end(self, record: RequestRecord, reply: Reply) -> None:
        record.outcome = RequestOutcome(str(reply.body["state"]))
        record.answer = reply.body
        record.detail = str(reply.body.get("detail", ""))
        for mismatch in find_mismatches(record, reply.body):
            self._tally.mismatches.append(f"{record.key}: {mismatch}")

    async def _wait_before_retry(self, record: RequestRecord, reply: Reply) -> None:
        self._tally.retried[reply.reason if reply.status else "connection-lost"] += 1
        record.detail = f"{reply.status} {reply.reason}"
        delay_s = min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, reply.retry_after_s))
        await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))

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
        entry = self._entries[self._next_index % len(self._entries)]
        self._next_index += 1
        headers = dict(headers or {})
        if wait_s:
            headers["Prefer"] = f"wait={wait_s}"
        timeout = aiohttp.ClientTimeout(total=wait_s + CALL_TIMEOUT_MARGIN_S)
        try:
            async with self._session.request(
                method, f"http://{entry}{path}", json=body, headers=headers, timeout=timeout
            ) as resp:
                return Reply(
                    resp.status,
                    await resp.json(content_type=None) or {},
                    resp.headers.get("Location", ""),
                    _parse_seconds(resp.headers.get("Retry-After", "")),
                )
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            return Reply(0, {"detail": repr(exc)})


def _parse_seconds(retry_after: str) -> float:
    try:
        return float(retry_after)
    except ValueError:
        return 0.0
