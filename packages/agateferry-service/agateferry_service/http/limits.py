"""What a port grants its clients: how many connections, how many bytes and how much time."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from starlette.responses import Response

MAX_HEAD_BYTES = 32 * 1024
"""Twice the longest head that the platform's manifests allow."""

HeaderList = Iterable[tuple[bytes, bytes]]
"""The headers of a request, with names in lower case."""


class RejectionReason(StrEnum):
    """Why a port rejected a request, or closed a connection, before its application saw it."""

    BODY_TIMEOUT = "body-timeout"
    HEAD_TIMEOUT = "head-timeout"
    HEAD_TOO_LARGE = "head-too-large"
    MEMORY_FULL = "memory-full"
    CONNECTIONS_FULL = "connections-full"
    PIPELINE_FULL = "pipeline-full"
    ANSWER_UNREAD = "answer-unread"

    @property
    def detail(self) -> str:
        """Return a text for the sender of a request that is rejected for this reason."""
        match self:
            case RejectionReason.BODY_TIMEOUT:
                return "the body was not received in time"
            case RejectionReason.HEAD_TOO_LARGE:
                return f"the request line and headers are limited to {MAX_HEAD_BYTES} bytes"
            case RejectionReason.MEMORY_FULL:
                return "too many requests are being received; try again later"
            case _:
                return self.value


MakeRejection = Callable[[RejectionReason, str], Response]
"""Make the response to a rejected request from the reason and a text for its sender."""


@dataclass(frozen=True, slots=True)
class PortLimits:
    """The limits of one port; times are in milliseconds.

    A client has `head_ms` for a request's line and headers, and the time that `body_ms` returns
    for its headers for the body. An open connection without a request is closed after `idle_ms`,
    one whose client leaves an answer unread after `unread_ms`. A body that is longer than
    `max_body_bytes` is passed on as soon as it is, cut off one byte after the limit.
    """

    max_connections: int
    max_body_bytes: int
    head_ms: int
    body_ms: Callable[[HeaderList], int]
    idle_ms: int = 30_000
    unread_ms: int = 10_000


def constant_ms(value_ms: int) -> Callable[[HeaderList], int]:
    """Return a `body_ms` that is the same for all requests."""
    return lambda _: value_ms
