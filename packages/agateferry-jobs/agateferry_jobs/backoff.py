"""Delays that double with each failure in a row."""

from collections.abc import Hashable
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)
RETENTION_FACTOR = 4
"""For how many of the longest delays the failures of a key are remembered."""


class Backoff(Generic[KeyT]):
    """Hold back what failed, for longer each time; `max_ms` is the longest delay."""

    def __init__(self, first_ms: int, max_ms: int) -> None:
        self._first_ms = first_ms
        self._max_ms = max_ms
        self._failures: dict[KeyT, tuple[int, int]] = {}
        """For each key, how often it failed in a row, and until when it is held back."""

    def record_failure(self, key: KeyT, now_ms: int) -> None:
        """Hold a key back from now on."""
        self._forget_old(now_ms)
        count, _ = self._failures.get(key, (0, 0))
        delay_ms = min(self._max_ms, self._first_ms * 2**count)
        is_longest = delay_ms == self._max_ms
        self._failures[key] = (count if is_longest else count + 1, now_ms + delay_ms)

    def record_success(self, key: KeyT) -> None:
        """Forget the failures of a key."""
        self._failures.pop(key, None)

    def is_held(self, key: KeyT, now_ms: int) -> bool:
        """Return whether a key is held back now."""
        failure = self._failures.get(key)
        return failure is not None and now_ms < failure[1]

    def has_failed(self, key: KeyT, now_ms: int) -> bool:
        """Return whether a key failed recently and has not succeeded since."""
        failure = self._failures.get(key)
        return failure is not None and failure[1] > self._oldest_ms(now_ms)

    def held(self, now_ms: int) -> set[KeyT]:
        """Return the keys that are held back now."""
        return {key for key, failure in self._failures.items() if now_ms < failure[1]}

    def clear(self) -> None:
        """Forget all failures."""
        self._failures.clear()

    def _forget_old(self, now_ms: int) -> None:
        """Forget the keys that have not failed again for much longer than they were held back."""
        oldest_ms = self._oldest_ms(now_ms)
        self._failures = {key: each for key, each in self._failures.items() if each[1] > oldest_ms}

    def _oldest_ms(self, now_ms: int) -> int:
        """Return the time up to which keys were held back whose failures are forgotten now."""
        return now_ms - RETENTION_FACTOR * self._max_ms
