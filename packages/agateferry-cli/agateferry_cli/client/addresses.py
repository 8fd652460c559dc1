"""Read the addresses of entry hosts from an option or the environment."""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from expression import Error, Ok, Result

from agateferry_cli.client.failures import ExitCode, Failure


class Port(StrEnum):
    """A port of the entry hosts; the value is also the name of its command-line option."""

    CALLERS = "callers"
    OPERATORS = "operators"

    @property
    def variable(self) -> str:
        """Return the name of the environment variable that holds the port's addresses."""
        return f"AGATEFERRY_{self.value.upper()}"


@dataclass(frozen=True, slots=True)
class Addresses:
    """Base URLs of one port of several hosts, in the order in which they are called."""

    port: Port
    urls: tuple[str, ...]


def resolve_addresses(
    port: Port, option: str, environ: Mapping[str, str] = os.environ
) -> Result[Addresses, Failure]:
    """Return the addresses in the option, or else those in the environment.

    The text has one IP:PORT or base URL after the other, with commas between.

    For example `resolve_addresses(Port.CALLERS, "127.0.0.1:7001,127.0.0.2:7001")`.
    """
    text = option or environ.get(port.variable, "")
    urls = tuple(_base_url(part.strip()) for part in text.split(",") if part.strip())
    if urls:
        return Ok(Addresses(port, urls))
    return Error(
        Failure(
            ExitCode.USAGE,
            f"no host with a {port} port is named",
            f"Give --{port} IP:PORT[,IP:PORT...] or set {port.variable}.",
        )
    )


def _base_url(address: str) -> str:
    return address.rstrip("/") if "://" in address else f"http://{address}"
