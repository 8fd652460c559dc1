"""An HTTP client that asks one host after the other until one can answer.

Every call that the command line makes can be repeated with no second effect: submits carry an
idempotency key, puts name the version that they replace, and cancels are idempotent. So a host that
cannot be reached, or that says that it cannot serve the call, is passed over for the next one.
"""

from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Self

import aiohttp
from expression import Error, Ok, Result

from agateferry_cli.client.addresses import Addresses
from agateferry_cli.client.failures import ExitCode, Failure
from agateferry_cli.client.problems import failure_of

CONNECT_TIMEOUT_S = 3
ANSWER_TIMEOUT_S = 10
BAD_REQUEST = 400
STALE_HEADER = "Agateferry-Stale"


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call; `wait_s` is how long the host may hold it."""

    method: str
    path: str
    body: Any = None
    headers: dict[str, str] = field(default_factory=dict)
    query: dict[str, str] = field(default_factory=dict)
    wait_s: int = 0

    def all_headers(self) -> dict[str, str]:
        """Return the headers with the preference to wait."""
        return {**self.headers, "Prefer": f"wait={self.wait_s}"} if self.wait_s else self.headers


@dataclass(frozen=True, slots=True)
class Answer:
    """A host's answer to a call, with its JSON body.

    `is_stale` tells that the host could not reach the records plane and answered from its zone's
    copy, which may be behind.
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
        """Open the connections' pool."""
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
        """Read something."""
        return await self.call(Call("GET", path, query=query or {}, wait_s=wait_s))

    async def call(self, call: Call) -> Result[Answer, Failure]:
        """Return the first host's answer that settles the call, or the last failure."""
        failure = Failure(ExitCode.UNREACHABLE, "no host was asked")
        for url in self._addresses.urls:
            result = await self._try(url, call)
            if result.is_ok() or result.error.code is not ExitCode.UNREACHABLE:
                return result
            failure = result.error
        return Error(failure)

    async def _try(self, url: str, call: Call) -> Result[Answer, Failure]:
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
                return await _read(url, response)
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            return Error(self._unreachable(url, exc))
        except ValueError as exc:
            return Error(Failure(ExitCode.USAGE, f"{url} cannot be called: {exc}"))

    def _unreachable(self, url: str, exc: Exception) -> Failure:
        port = self._addresses.port
        detail = str(exc) or type(exc).__name__
        return Failure(
            ExitCode.UNREACHABLE,
            f"{url} does not answer: {detail}",
            f"Check the address and that agateferryd runs; name more hosts with --{port} A,B "
            f"or in {port.variable}.",
            "unreachable",
        )


async def _read(url: str, response: aiohttp.ClientResponse) -> Result[Answer, Failure]:
    try:
        body = await response.json(content_type=None)
    except ValueError:
        text = f"{url} answered {response.status} without JSON"
        advice = "Check that the address is a port of agateferryd and not of another service."
        return Error(Failure(ExitCode.USAGE, text, advice))
    if response.status < BAD_REQUEST:
        return Ok(Answer(response.status, body, STALE_HEADER in response.headers))
    retry_after = response.headers.get("Retry-After", "")
    return Error(failure_of(response.status, body, retry_after))
