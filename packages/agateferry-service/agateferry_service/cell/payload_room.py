"""Whether there is memory for the payload of another request.

Every host of a zone keeps the payloads of all open requests. The scheduler bounds their number, not
their size.
"""

from contextlib import AbstractContextManager

from agateferry_core.stored_room import Shortage, StoredItem, StoredRoom
from agateferry_service.cell.machine import CellMachine
from agateferry_service.requests import RequestSpec

DEFAULT_MAX_BYTES = 24 * 1024 * 1024
SMALL_PAYLOAD_BYTES = 16 * 1024
"""Payloads up to this size count as small, so that larger ones leave them room."""
RETRY_AFTER_MS = 2_000


class PayloadRoom:
    """Count the payloads of open requests and of those being committed, up to `max_bytes`."""

    def __init__(self, machine: CellMachine, max_bytes: int) -> None:
        self._machine = machine
        self._room = StoredRoom(max_bytes, SMALL_PAYLOAD_BYTES)

    def find_shortage(self, spec: RequestSpec, has_several_teams: bool) -> str | None:
        """Return why there is no room for a request; None if there is room."""
        match self._room.find_shortage(_to_item(spec), self._used_bytes, has_several_teams):
            case Shortage.ALL:
                return "the payloads of open requests take all room"
            case Shortage.TEAM:
                return f"the payloads of team {spec.team} take all of its room"
            case None:
                return None

    def committing(self, spec: RequestSpec) -> AbstractContextManager[None]:
        """Count a request's payload while it is being committed."""
        return self._room.committing(_to_item(spec))

    def _used_bytes(self, team: str | None, _enough: float) -> int:
        by_team = self._machine.ledger.payload_bytes
        return sum(by_team.values()) if team is None else by_team[team]


def _to_item(spec: RequestSpec) -> StoredItem:
    names: set[object] = {spec.id}
    if spec.key:
        names.add((spec.team, spec.key))
    return StoredItem(frozenset(names), spec.team, len(spec.payload))
