"""The heartbeats of a worker to the entry hosts of its zone."""

import asyncio
from dataclasses import dataclass
from typing import Any, Protocol

import aiohttp

from agateferry_core.logs import EventLogger
from agateferry_standins.events import HEARTBEAT_FAILED

INITIAL_HEARTBEAT_MS = 1_000
RETRY_DELAY_MS = 200
MIN_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Instructions:
    """The reply of an entry host to a heartbeat.

    `heartbeat_ms` is the interval until the next heartbeat; `stop` and `release` are ids of leases.
    """

    heartbeat_ms: int
    stop: tuple[str, ...] = ()
    release: tuple[str, ...] = ()


class HeartbeatSource(Protocol):
    """Provide the bodies of heartbeats and apply the instructions of the replies."""

    def heartbeat_body(self) -> dict[str, Any]:
        """Return the current state of the worker as a JSON object."""

    def apply_instructions(self, instructions: Instructions) -> None:
        """Stop and release the leases that an entry host named in its reply."""


class HeartbeatSender:
    """Send a worker's heartbeats periodically, and earlier when `send_soon` is called.

    One heartbeat is in flight at a time; changes that happen meanwhile are sent with the next one.
    When an entry host fails, the next of `entries`, each `ip:port`, is tried.
    """

    def __init__(self, name: str, entries: list[str], source: HeartbeatSource) -> None:
        self._name = name
        self._entries = entries
        self._source = source
        self._entry_index = 0
        self._heartbeat_ms = INITIAL_HEARTBEAT_MS
        self._send_requested = asyncio.Event()
        self._log = EventLogger(worker=name)
        self.accepted_count = 0
        self.consecutive_failures = 0

    def send_soon(self) -> None:
        """Send the next heartbeat without waiting for the end of the interval."""
        self._send_requested.set()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                self._send_requested.clear()
                sent = await self._send_heartbeat(session)
                await self._wait_for_next(self._heartbeat_ms if sent else RETRY_DELAY_MS, sent)

    async def _wait_for_next(self, delay_ms: int, allow_early: bool) -> None:
        if not allow_early:
            await asyncio.sleep(delay_ms / 1000)
            return
        await asyncio.sleep(MIN_INTERVAL_S)
        try:
            await asyncio.wait_for(self._send_requested.wait(), delay_ms / 1000)
        except TimeoutError:
            return

    async def _send_heartbeat(self, session: aiohttp.ClientSession) -> bool:
        entry = self._entries[self._entry_index % len(self._entries)]
        url = f"http://{entry}/v1/endpoints/{self._name}/announce"
        detail: Any = ""
        try:
            async with session.post(url, json=self._source.heartbeat_body()) as resp:
                if resp.status == 200:
                    self._process_reply(await resp.json())
                    return True
                detail = f"{resp.status} {await resp.text()}"
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            detail = repr(exc)
        self._entry_index += 1
        self.consecutive_failures += 1
        if self.consecutive_failures == 1:
            self._log.info(HEARTBEAT_FAILED, entry=entry, detail=detail)
        return False

    def _process_reply(self, body: dict[str, Any]) -> None:
        self.accepted_count += 1
        self.consecutive_failures = 0
        self._heartbeat_ms = int(body["heartbeat_ms"])
        self._source.apply_instructions(
            Instructions(
                self._heartbeat_ms, tuple(body.get("stop", ())), tuple(body.get("release", ()))
            )
        )
