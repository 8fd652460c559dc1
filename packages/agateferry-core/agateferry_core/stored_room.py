"""Room for what teams store on all hosts of a cell.

Each item has a limit of its own; this is about all of them together. Large items leave a part of
the room to small ones, and one team leaves a part to the others. Items that are being committed
count as stored.
"""

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum, auto

LARGE_SHARE = 0.75
"""The part of the room that items over `small_bytes` may use."""
TEAM_SHARE = 0.5
"""The part of the room that one team may use where there are several."""

UsedBytes = Callable[[str | None, float], int]
"""Return the bytes that a team has stored, or all teams for None.

The second argument is how much would leave enough room; below that the result need not be exact.
"""


class Shortage(Enum):
    """Whose room an item does not fit into."""

    ALL = auto()
    TEAM = auto()


@dataclass(frozen=True, slots=True)
class StoredItem:
    """An item to be stored, with the names by which another attempt to store it is known."""

    names: frozenset[object]
    team: str
    size: int


class StoredRoom:
    """Tell whether there is room for an item, up to `max_bytes` in all."""

    def __init__(self, max_bytes: int, small_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._small_bytes = small_bytes
        self._committing: list[StoredItem] = []

    def find_shortage(
        self, item: StoredItem, used_bytes: UsedBytes, has_several_teams: bool
    ) -> Shortage | None:
        """Return whose room an item does not fit into; None if there is room.

        Another attempt to store an item that is being committed finds room: it must not be refused,
        since the first may be accepted.
        """
        if any(each.names & item.names for each in self._committing):
            return None
        room = self._max_bytes * (1.0 if item.size <= self._small_bytes else LARGE_SHARE)
        if not self._fits(item, None, used_bytes, room):
            return Shortage.ALL
        if has_several_teams and not self._fits(item, item.team, used_bytes, room * TEAM_SHARE):
            return Shortage.TEAM
        return None

    @contextlib.contextmanager
    def committing(self, item: StoredItem) -> Iterator[None]:
        """Count an item as stored while it is being committed."""
        self._committing.append(item)
        try:
            yield
        finally:
            self._committing.remove(item)

    def _fits(self, item: StoredItem, team: str | None, used_bytes: UsedBytes, room: float) -> bool:
        committing = sum(each.size for each in self._committing if team in (None, each.team))
        free = room - committing - item.size
        return used_bytes(team, free) <= free
