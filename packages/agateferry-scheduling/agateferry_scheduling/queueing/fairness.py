"""The order of teams: who holds least for its weight goes first, and waiting counts for more.

A team's share is its dominant share (Ghodsi et al., NSDI 2011): the larger of its parts of the
zone's accelerators and of its slots.
"""

from dataclasses import dataclass

from agateferry_core.demand import Demand

AGEING_SHARE_PER_HOUR = 0.25
MS_PER_HOUR = 3_600_000


@dataclass(slots=True)
class TeamUsage:
    """The accelerators and slots that a team holds now."""

    accelerators: int = 0
    slots: int = 0


class TeamShares:
    """Count what each team holds, and order teams by it."""

    def __init__(self) -> None:
        self.usage: dict[str, TeamUsage] = {}
        self.weights: dict[str, float] = {}

    def charge(self, team: str, demand: Demand, sign: int) -> None:
        """Count a request in (1) or out (-1)."""
        held = self.usage.setdefault(team, TeamUsage())
        held.accelerators += sign * demand.members * demand.accelerators
        held.slots += sign * demand.members

    def dominant_share(self, team: str, accelerators: int, slots: int) -> float:
        """Return a team's dominant share of so many accelerators and slots, by its weight."""
        held = self.usage.get(team)
        if held is None:
            return 0.0
        part = max(held.accelerators / max(accelerators, 1), held.slots / max(slots, 1))
        return part / max(self.weights.get(team, 1.0), 0.001)

    def rank(self, share: float, waited_ms: int) -> float:
        """Return a number that is lower for whom it is more fair to start next."""
        return share - AGEING_SHARE_PER_HOUR * waited_ms / MS_PER_HOUR
