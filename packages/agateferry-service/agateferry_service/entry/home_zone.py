"""Which availability zone's cell owns a request."""

import hashlib
import uuid
from collections.abc import Sequence

ID_SEPARATOR = "."


def zone_of_id(request_id: str) -> str:
    """Return the zone that issued a request id, which is its part before the last dot."""
    return request_id.rpartition(ID_SEPARATOR)[0]


def new_id(zone: str) -> str:
    """Issue a request id that names its zone."""
    return f"{zone}{ID_SEPARATOR}{uuid.uuid4().hex}"


def home_zone(
    named: str | None, team: str, key: str, idempotent: bool, local: str, zones: Sequence[str]
) -> str:
    """Return the zone whose cell owns a new request.

    A zone that the caller names wins. Work that is idempotent stays where it came in. Work that is
    not goes to the zone that its key hashes to, by rendezvous hashing (Thaler and Ravishankar,
    1998), so that a resend to any zone ends at the same ledger.
    """
    if named is not None:
        return named
    if idempotent or not key:
        return local
    return max(zones, key=lambda zone: _score(zone, team, key))


def _score(zone: str, team: str, key: str) -> bytes:
    return hashlib.sha256(f"{zone}\0{team}\0{key}".encode()).digest()
