"""Remember which searches for workers found nothing, so that a plan makes each of them once.

Hundreds of waiting subtasks ask for the same resources. While a plan is made, free resources only
become fewer, so a search for free resources that failed once fails to the end of the plan. Other
searches can succeed again after the plan has started, stopped or reserved something.
"""

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import TypeVar

ResultT = TypeVar("ResultT")


@dataclass(frozen=True, slots=True)
class SearchKey:
    """What decides the result of a search, besides the state of the workers.

    `is_final` says that a failure holds to the end of the plan, not only until the next change.
    """

    inputs: Hashable
    is_final: bool


class FailedSearches:
    """The failed searches of one plan."""

    def __init__(self) -> None:
        self._changes = 0
        self._failed_at: dict[SearchKey, int] = {}

    def record_change(self) -> None:
        """Record that the plan started, stopped or reserved something."""
        self._changes += 1

    def search(self, key: SearchKey | None, search: Callable[[], ResultT | None]) -> ResultT | None:
        """Return the result of `search`, or None where it would surely fail.

        A search without a key is always made.
        """
        if key is not None and self._has_failed(key):
            return None
        result = search()
        if key is not None and not result:
            self._failed_at[key] = self._changes
        return result or None

    def _has_failed(self, key: SearchKey) -> bool:
        failed_at = self._failed_at.get(key)
        return failed_at is not None and (key.is_final or failed_at == self._changes)
