"""Whether there is memory for the payload of another request.

Every host of a zone keeps the payloads of all open requests. The scheduler bounds their number, not
their size.
"""

import contextlib
from collections.abc import Iterator

from agateferry_service.cell.machine import CellMachine
from agateferry_service.requests import RequestSpec

DEFAULT_MAX_BYTES = 24 * 1024 * 1024
SMALL_PAYLOAD_BYTES = 16 * 1024
"""Payloads up to this size may use all room, larger ones `LARGE_SHARE` of it."""
LARGE_SHARE = 0.75
TEAM_SHARE = 0.5
"""The part of the room that one team may use where there are several."""
RETRY_AFTER_MS = 2_000


class PayloadRoom:
    """Count the payloads of open requests and of those being committed, up to `max_bytes`."""

    def __init__(self, machine: CellMachine, max_bytes: int) -> None:
        self._machine = machine
        self._max_bytes = max_bytes
        self._committing: list[RequestSpec] = []

    def find_shortage(self, spec: RequestSpec, has_several_teams: bool) -> str | None:
        """Return why there is no room for a request; None if there is room.

        Another attempt of a request that is being committed finds room: it must not be refused,
        since the first may be accepted.
        """
        if any(_is_same_request(each, spec) for each in self._committing):
            return None
        size = len(spec.payload)
        room = self._max_bytes * (1.0 if size <= SMALL_PAYLOAD_BYTES else LARGE_SHARE)
        by_team = self._machine.ledger.payload_bytes
        committing = self._committing
        if sum(by_team.values()) + sum(len(each.payload) for each in committing) + size > room:
            return "the payloads of open requests take all room"
        of_team = sum(len(each.payload) for each in committing if each.team == spec.team)
        if has_several_teams and by_team[spec.team] + of_team + size > room * TEAM_SHARE:
            return f"the payloads of team {spec.team} take all of its room"
        return None

    @contextlib.contextmanager
    def committing(self, spec: RequestSpec) -> Iterator[None]:
        """Count a request's payload while it is being committed."""
        self._committing.append(spec)
        try:
            yield
        finally:
            self._committing.remove(spec)


def _is_same_request(one: RequestSpec, other: RequestSpec) -> bool:
    return one.id == other.id or (bool(one.key) and (one.team, one.key) == (other.team, other.key))
