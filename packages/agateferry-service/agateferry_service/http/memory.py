"""The memory that a process holds for its clients, all connections together.

Each request has a limit of its own, but many at once need one together. So each connection takes
the bytes from one account before it reads them, and gives them back when its request has ended,
whatever way it ended. When the account is full, the unfinished requests that have made the least
progress for their time are rejected first. What small requests may take is more than what large
ones may, so that a flood of large bodies leaves room for ordinary calls.
"""

from collections.abc import MutableMapping
from typing import Any, Protocol

SMALL_REQUEST_BYTES = 16 * 1024
"""Requests up to this size may use the whole account."""
LARGE_SHARE = 0.75
"""The share of the account that larger requests may use."""
EVICTED_SHARE = 1 / 16
"""How much of the account is made free at a time, so that a flood costs few searches."""

MEMORY_KEY = "memory"
"""The key of a request's memory in the state of its ASGI scope."""


class UnfinishedRequest(Protocol):
    """A request whose end has not arrived yet."""

    @property
    def held_bytes(self) -> int:
        """Return the bytes that the request has taken from the account."""

    def progress(self, now_s: float) -> float:
        """Return the bytes received for each second since the request began."""

    def evict(self) -> None:
        """Reject the request because the account is full; this gives back its bytes."""


class MemoryAccount:
    """Count the bytes that are held for clients, up to `limit_bytes`."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.unfinished: set[UnfinishedRequest] = set()
        """The requests that may be rejected to make room."""

    def has_room(self, more_bytes: int, is_large: bool) -> bool:
        """Return whether `more_bytes` can be taken now."""
        share = LARGE_SHARE if is_large else 1.0
        return self.held_bytes + more_bytes <= self.limit_bytes * share

    def make_room(self, more_bytes: int, is_large: bool, now_s: float) -> bool:
        """Reject unfinished requests, slowest first, until there is room for `more_bytes`.

        Large requests make room for small ones, but not the other way round. Return False where
        they do not hold enough. The request that needs the room may be among those rejected.
        """
        least_bytes = SMALL_REQUEST_BYTES if is_large else 0
        holders = [each for each in self.unfinished if each.held_bytes > least_bytes]
        spare_bytes = int(self.limit_bytes * EVICTED_SHARE)
        for each in sorted(holders, key=lambda each: each.progress(now_s)):
            if self.has_room(more_bytes + spare_bytes, is_large):
                break
            each.evict()
        return self.has_room(more_bytes, is_large)


class Holding:
    """What one connection has taken from the account; `size` is in bytes."""

    __slots__ = ("_account", "size")

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self.size = 0

    def resize(self, size: int, now_s: float) -> bool:
        """Change the size; return False, with nothing changed, where the account has no room.

        An unfinished request that asks for room may be rejected for it. Then its size is 0 and the
        result is False too.
        """
        more_bytes = size - self.size
        is_large = size > SMALL_REQUEST_BYTES
        account = self._account
        if more_bytes > 0 and not account.has_room(more_bytes, is_large):
            before = self.size
            has_room = account.make_room(more_bytes, is_large, now_s)
            if not has_room or self.size != before:
                return False
        self.size = size
        account.held_bytes += more_bytes
        return True

    def release(self) -> None:
        """Give back all bytes; this may be called again."""
        self._account.held_bytes -= self.size
        self.size = 0


class RequestMemory(Protocol):
    """What one request takes from the account while its application handles it."""

    def grow(self, more_bytes: int) -> bool:
        """Take bytes until the request is answered; return False where there is no room."""


class _UnlimitedMemory:
    def grow(self, more_bytes: int) -> bool:
        return True


def set_memory(state: MutableMapping[str, Any], memory: RequestMemory) -> None:
    """Pass a request's memory on to its application, in the state of the request's scope."""
    state[MEMORY_KEY] = memory


def memory_of(scope: MutableMapping[str, Any]) -> RequestMemory:
    """Return the memory of a request; one that has come by no bounded port is not limited."""
    memory: RequestMemory = scope.get("state", {}).get(MEMORY_KEY) or _UnlimitedMemory()
    return memory
