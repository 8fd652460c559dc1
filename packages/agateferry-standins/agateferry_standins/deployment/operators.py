"""The few operators' calls that a driver makes."""

import asyncio
from typing import Any

import aiohttp

from agateferry_standins.deployment.samples import StoredRecord

CALL_TIMEOUT_S = 5.0
POLL_S = 0.1


class Operator:
    """Talk to the operators' port of entry hosts, the next one when one fails."""

    def __init__(self, session: aiohttp.ClientSession, addresses: list[str]) -> None:
        self._session = session
        self._addresses = addresses
        self._turn = 0

    async def put(self, record: StoredRecord, replaces: int = 0) -> dict[str, Any]:
        """Store a record; a refusal for good raises ValueError with the answer."""
        body = {"schema": "v2", "replaces": replaces, "content": record.content}
        path = f"/v1/records/{record.kind}/{record.name}"
        while True:
            status, answer = await self.call("PUT", path, body)
            if status == 200:
                return answer
            if status not in (0, 500, 503):
                raise ValueError(f"{path} was refused: {status} {answer}")
            await asyncio.sleep(POLL_S)

    async def call(
        self, method: str, path: str, body: Any = None, address: str = ""
    ) -> tuple[int, dict[str, Any]]:
        """Make one call; status 0 stands for a lost connection."""
        if not address:
            address = self._addresses[self._turn % len(self._addresses)]
            self._turn += 1
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.request(
                method, f"http://{address}{path}", json=body, timeout=timeout
            ) as resp:
                return resp.status, await resp.json(content_type=None) or {}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            return 0, {"detail": repr(exc)}

    async def ready(self, address: str) -> bool:
        """Tell whether a host is ready for callers."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.get(f"http://{address}/readyz", timeout=timeout) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def metrics(self, address: str) -> str:
        """Return the metrics of a host in the text form of Prometheus."""
        async with self._session.get(f"http://{address}/metrics") as resp:
            return await resp.text()
