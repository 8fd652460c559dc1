"""A client of the operators' port for the programs that run a system."""

import asyncio
from typing import Any

import aiohttp

from agateferry_standins.deployment.samples import OperatorRecord

CALL_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.1


class OperatorClient:
    """Call the operators' ports of the hosts in turn, each `ip:port`."""

    def __init__(self, session: aiohttp.ClientSession, addresses: list[str]) -> None:
        self._session = session
        self._addresses = addresses
        self._next_index = 0

    async def put_record(self, record: OperatorRecord, replaces: int = 0) -> dict[str, Any]:
        """Store a record and return the reply.

        It is sent again after a lost connection, 500 or 503; any other status raises ValueError.
        """
        body = {"schema": "v2", "replaces": replaces, "content": record.content}
        path = f"/v1/records/{record.kind}/{record.name}"
        while True:
            status, reply = await self.call("PUT", path, body)
            if status == 200:
                return reply
            if status not in (0, 500, 503):
                raise ValueError(f"{path} was refused: {status} {reply}")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def call(
        self, method: str, path: str, body: Any = None, address: str = ""
    ) -> tuple[int, dict[str, Any]]:
        """Make one call and return the HTTP status and JSON body; status 0 means no valid reply."""
        if not address:
            address = self._addresses[self._next_index % len(self._addresses)]
            self._next_index += 1
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.request(
                method, f"http://{address}{path}", json=body, timeout=timeout
            ) as resp:
                return resp.status, await resp.json(content_type=None) or {}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            return 0, {"detail": repr(exc)}

    async def is_ready(self, address: str) -> bool:
        """Return whether a host is ready to serve callers."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.get(f"http://{address}/readyz", timeout=timeout) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def metrics(self, address: str) -> str:
        """Return the metrics of a host in the text format of Prometheus."""
        async with self._session.get(f"http://{address}/metrics") as resp:
            return await resp.text()
