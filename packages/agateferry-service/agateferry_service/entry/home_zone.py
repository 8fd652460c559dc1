"""The home zone of a request: the availability zone whose cell owns it."""

import hashlib
import uuid
from collections.abc import Sequence

ID_SEPARATOR = "."


def zone_of_id(request_id: str) -> str:
    """Return the zone that issued a request id, which is its part before the last dot."""
    return request_id.rpartition(ID_SEPARATOR)[0]


def new_id(zone: str) -> str:
    """Return a new request id that starts with its home zone, such as `vestland-1.4f1c`."""
    return f"{zone}{ID_SEPARATOR}{uuid.uuid4().hex}"


def home_zone(
    named: str | None, team: str, key: str, idempotent: bool, local: str, zones: Sequence[str]
) -> str:
    """Return the zone whose cell owns a new request.

    The zone that the caller names (`named`) has priority. Without one, a request that is idempotent
    or has no key stays in the zone that received it (`local`). A request with a key that is not
    idempotent goes to the zone to which its team and key hash, by rendezvous hashing (Thaler and
    Ravishankar, 1998), so that a resend through any zone reaches the same ledger.
    """
    if named is not None:
        return named
    if idempotent or not key:
        return local
    return max(zones, key=lambda zone: _score(zone, team, key))


def other_zones(home: str, team: str, key: str, zones: Sequence[str]) -> list[str]:
    """Return the zones to which an idempotent request may go while its home zone is evacuated.

    Their order depends on the team and the key, so that a resend goes to the same zone and requests
    with different keys spread over all zones.
    """
    others = [zone for zone in zones if zone != home]
    return sorted(others, key=lambda zone: _score(zone, team, key), reverse=True)


def _score(zone: str, team: str, key: str) -> bytes:
    return hashlib.sha256(f"{zone}\0{team}\0{key}".encode()).digest()
