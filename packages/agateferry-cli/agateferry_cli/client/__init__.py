"""HTTP calls to the callers' and the operators' ports of entry hosts."""

from agateferry_cli.client.addresses import Port, resolve_addresses
from agateferry_cli.client.client import Answer, Client
from agateferry_cli.client.failures import ExitCode, Failure
from agateferry_cli.client.waiting import wait_for_end

__all__ = [
    "Answer",
    "Client",
    "ExitCode",
    "Failure",
    "Port",
    "resolve_addresses",
    "wait_for_end",
]
