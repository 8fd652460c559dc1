"""The faults of a simulated day, and what they affect at a moment."""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from agateferry_core.clock import MS_PER_S

OUTAGE_SEED_OFFSET = 1_000
"""Added to the seeds of outages, so that they affect other workers than slowness does."""


@dataclass(frozen=True, slots=True)
class Slowness:
    """A period in which a share of the workers is `slowdown` times as slow; 0 is a standstill."""

    start_s: float
    duration_s: float
    share: float
    slowdown: float


@dataclass(frozen=True, slots=True)
class Outage:
    """A period in which a share of the workers is unreachable; their runs go on.

    With `rack` it affects the workers of that rack, counted from 0, and `share` is ignored.
    """

    start_s: float
    duration_s: float
    share: float = 0.0
    rack: int | None = None


@dataclass(frozen=True, slots=True)
class LeaderAbsence:
    """A period without a leader: no job is accepted and nothing is planned; runs go on."""

    start_s: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class ZoneEvacuation:
    """A period in which nothing starts in a zone; its workers are cold for `cold_s` afterwards.

    Racks lie in zones in turn: rack 4 of 3 zones is in zone 1. Cold workers are `slowdown` times as
    slow.
    """

    start_s: float
    duration_s: float
    zone: int
    cold_s: float = 0.0
    slowdown: float = 1.0

    @property
    def coldness(self) -> Slowness:
        """Return the slowness of the zone's workers after the evacuation."""
        return Slowness(self.start_s + self.duration_s, self.cold_s, 1.0, self.slowdown)


Fault = Slowness | Outage | LeaderAbsence | ZoneEvacuation


class FaultSchedule:
    """Tell which workers faults affect; `racks` maps a worker's id to its rack, `r0` and on."""

    def __init__(
        self,
        racks: Mapping[str, str],
        slowness: Iterable[Slowness],
        outages: Iterable[Outage],
        absences: Iterable[LeaderAbsence],
        evacuations: Iterable[ZoneEvacuation] = (),
        zones: int = 1,
    ) -> None:
        self._racks = racks
        self._evacuations = tuple(evacuations)
        self._zones = zones
        self._slowness = tuple(slowness)
        self._outages = tuple(outages)
        self._absences = tuple(absences)

    def speeds(self, now_ms: int) -> dict[str, float]:
        """Return the speed of each worker; 1 is full speed."""
        speeds = dict.fromkeys(self._racks, 1.0)
        for number, slowness in enumerate(self._slowness):
            for id in self._affected(slowness, slowness.share, number, now_ms):
                speeds[id] = 1 / slowness.slowdown if slowness.slowdown else 0.0
        for evacuation in self._evacuations:
            if _is_active(evacuation.coldness, now_ms):
                speeds |= dict.fromkeys(self._in_zone(evacuation.zone), 1 / evacuation.slowdown)
        return speeds

    def evacuated_zones(self, now_ms: int) -> set[str]:
        """Return the names of the zones in which nothing may start."""
        return {zone_name(each.zone) for each in self._evacuations if _is_active(each, now_ms)}

    def cold(self, now_ms: int) -> set[str]:
        """Return the workers that are cold after an evacuation."""
        active = [each for each in self._evacuations if _is_active(each.coldness, now_ms)]
        return {id for each in active for id in self._in_zone(each.zone)}

    def _in_zone(self, zone: int) -> set[str]:
        name = zone_name(zone)
        return {id for id, rack in self._racks.items() if zone_of(rack, self._zones) == name}

    def unreachable(self, now_ms: int) -> set[str]:
        """Return the workers that the leader cannot reach."""
        unreachable: set[str] = set()
        for number, outage in enumerate(self._outages):
            if outage.rack is None:
                seed = OUTAGE_SEED_OFFSET + number
                unreachable |= self._affected(outage, outage.share, seed, now_ms)
            elif _is_active(outage, now_ms):
                rack = f"r{outage.rack}"
                unreachable |= {id for id, own_rack in self._racks.items() if own_rack == rack}
        return unreachable

    def has_leader(self, now_ms: int) -> bool:
        """Return whether the cell has a leader."""
        return not any(_is_active(absence, now_ms) for absence in self._absences)

    def _affected(self, fault: Fault, share: float, seed: int, now_ms: int) -> set[str]:
        """Return the workers that a fault affects now; each fault draws its own by its seed."""
        if not _is_active(fault, now_ms):
            return set()
        ids = sorted(self._racks)
        return set(random.Random(seed).sample(ids, round(share * len(ids))))


def zone_name(number: int) -> str:
    """Return the name of a zone, for example `z1`."""
    return f"z{number}"


def zone_of(rack: str, zones: int) -> str:
    """Return the name of the zone in which a rack lies."""
    return zone_name(int(rack[1:]) % zones)


def _is_active(fault: Fault, now_ms: int) -> bool:
    start_ms = fault.start_s * MS_PER_S
    return start_ms <= now_ms < start_ms + fault.duration_s * MS_PER_S
