"""Announcements of a worker to the entry hosts of its zone."""

import asyncio
from dataclasses import dataclass
from typing import Any, Protocol

import aiohttp

from agateferry_core.logs import EventLogger
from agateferry_standins.events import ANNOUNCE_FAILED

FIRST_HEARTBEAT_MS = 1_000
RETRY_MS = 200
MIN_GAP_S = 0.02
CALL_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Instructions:
    """What an entry host said to an announcement."""

    heartbeat_ms: int
    stop: tuple[str, ...] = ()
    release: tuple[str, ...] = ()


class Announced(Protocol):
    """Give the body of an announcement and obey what comes back."""

    def announcement(self) -> dict[str, Any]:
        """Return the worker as it stands."""

    def obey(self, instructions: Instructions) -> None:
        """Stop and release the leases that the entry host names."""


class Announcer:
    """Announce a worker at each heartbeat and at once when it asks for it.

    One announcement is under way at a time; changes that come meanwhile go out with the next.
    When an entry host fails, the next of `entries` is tried.
    """

    def __init__(self, name: str, entries: list[str], worker: Announced) -> None:
        self._name = name
        self._entries = entries
        self._worker = worker
        self._next = 0
        self._heartbeat_ms = FIRST_HEARTBEAT_MS
        self._due = asyncio.Event()
        self._log = EventLogger(worker=name)
        self.accepted = 0
        self.failed_in_row = 0

    def at_once(self) -> None:
        """Ask for an announcement as soon as possible."""
        self._due.set()

    async def run(self) -> None:
        """Announce until cancelled."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                self._due.clear()
                sent = await self._announce(session)
                await self._pause(self._heartbeat_ms if sent else RETRY_MS, sent)

    async def _pause(self, pause_ms: int, wake_early: bool) -> None:
        if not wake_early:
            await asyncio.sleep(pause_ms / 1000)
            return
        await asyncio.sleep(MIN_GAP_S)
        try:
            await asyncio.wait_for(self._due.wait(), pause_ms / 1000)
        except TimeoutError:
            return

    async def _announce(self, session: aiohttp.ClientSession) -> bool:
        entry = self._entries[self._next % len(self._entries)]
        url = f"http://{entry}/v1/endpoints/{self._name}/announce"
        detail: Any = ""
        try:
            async with session.post(url, json=self._worker.announcement()) as resp:
                if resp.status == 200:
                    self._obey(await resp.json())
                    return True
                detail = f"{resp.status} {await resp.text()}"
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            detail = repr(exc)
        self._next += 1
        self.failed_in_row += 1
        if self.failed_in_row == 1:
            self._log.info(ANNOUNCE_FAILED, entry=entry, detail=detail)
        return False

    def _obey(self, body: dict[str, Any]) -> None:
        self.accepted += 1
        self.failed_in_row = 0
        self._heartbeat_ms = int(body["heartbeat_ms"])
        self._worker.obey(
            Instructions(
                self._heartbeat_ms, tuple(body.get("stop", ())), tuple(body.get("release", ()))
            )
        )
