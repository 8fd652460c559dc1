"""An HTTP client that calls one host after the other until one can serve the call.

All calls of the command line are safe to retry: submits carry an idempotency key, puts name the
version that they replace, and cancels are idempotent. So where a host cannot be reached, or replies
that it cannot serve the call, the client calls the next one.
"""

from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Self

import aiohttp
from expression import Error, Ok, Result

from agateferry_cli.client.addresses import Addresses
from agateferry_cli.client.failures import ExitCode, Failure
from agateferry_cli.client.problems import failure_from_problem

CONNECT_TIMEOUT_S = 3
ANSWER_TIMEOUT_S = 10
FIRST_ERROR_STATUS = 400
STALE_HEADER = "Agateferry-Stale"


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call; the host may wait up to `wait_s` seconds for news before it replies."""

    method: str
    path: str
    body: Any = None
    headers: dict[str, str] = field(default_factory=dict)
    query: dict[str, str] = field(default_factory=dict)
    wait_s: int = 0

    def all_headers(self) -> dict[str, str]:
        """Return the headers, with a `Prefer` header where the host may wait."""
        return {**self.headers, "Prefer": f"wait={self.wait_s}"} if self.wait_s else self.headers


@dataclass(frozen=True, slots=True)
class Answer:
    """A host's answer to a call, with its JSON body.

    Where `is_stale`, the host could not reach the records plane and read its zone's copy of the
    records, which may be older.
    """

    status: int
    body: Any
    is_stale: bool = False


class Client:
    """Call the hosts of one port; used as an asynchronous context manager."""

    def __init__(self, addresses: Addresses) -> None:
        self._addresses = addresses
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Open the connection pool."""
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def get(
        self, path: str, query: dict[str, str] | None = None, wait_s: int = 0
    ) -> Result[Answer, Failure]:
        """Call `path` with the method GET."""
        return await self.call(Call("GET", path, query=query or {}, wait_s=wait_s))

    async def call(self, call: Call) -> Result[Answer, Failure]:
        """Call the hosts in order until one serves or refuses the call; return its answer.

        The error is the refusal, or the failure of the last host where none could serve the call.
        """
        failure = Failure(ExitCode.UNREACHABLE, "no host was called")
        for url in self._addresses.urls:
            result = await self._call_host(url, call)
            if result.is_ok() or result.error.code is not ExitCode.UNREACHABLE:
                return result
            failure = result.error
        return Error(failure)

    async def _call_host(self, url: str, call: Call) -> Result[Answer, Failure]:
        assert self._session is not None, "the client is not open"
        timeout = aiohttp.ClientTimeout(
            total=call.wait_s + ANSWER_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.request(
                call.method,
                f"{url}{call.path}",
                json=call.body,
                headers=call.all_headers(),
                params=call.query,
                timeout=timeout,
            ) as response:
                return await _read_answer(url, response)
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            return Error(self._unreachable_failure(url, exc))
        except ValueError as exc:
            return Error(Failure(ExitCode.USAGE, f"{url} cannot be called: {exc}"))

    def _unreachable_failure(self, url: str, exc: Exception) -> Failure:
        port = self._addresses.port
        detail = str(exc) or type(exc).__name__
        return Failure(
            ExitCode.UNREACHABLE,
            f"no answer from {url}: {detail}",
            f"Check the address and whether agateferryd runs; name more hosts with --{port} A,B "
            f"or in {port.variable}.",
            "unreachable",
        )


async def _read_answer(url: str, response: aiohttp.ClientResponse) -> Result[Answer, Failure]:
    try:
        body = await response.json(content_type=None)
    except ValueError:
        text = f"{url} answered {response.status} without JSON"
        advice = "Check that the address is a port of agateferryd, not of another service."
        return Error(Failure(ExitCode.USAGE, text, advice))
    if response.status < FIRST_ERROR_STATUS:
        return Ok(Answer(response.status, body, STALE_HEADER in response.headers))
    retry_after = response.headers.get("Retry-After", "")
    return Error(failure_from_problem(response.status, body, retry_after))
