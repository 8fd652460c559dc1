"""The order of requests: the team with the smallest weighted dominant share goes first.

A team's dominant share (Ghodsi et al., NSDI 2011) is the larger of its shares of the zone's
accelerators and of the zone's slots. The longer a request waits, the less its team's share counts.
"""

from dataclasses import dataclass

from agateferry_core.demand import Demand

AGEING_SHARE_PER_HOUR = 0.25
MS_PER_HOUR = 3_600_000


@dataclass(slots=True)
class TeamUsage:
    """The accelerators and slots that a team uses now."""

    accelerators: int = 0
    slots: int = 0


class TeamShares:
    """Track the usage of each team, and rank teams by it."""

    def __init__(self) -> None:
        self.usage: dict[str, TeamUsage] = {}
        self.weights: dict[str, float] = {}

    def charge(self, team: str, demand: Demand, sign: int) -> None:
        """Add (1) or subtract (-1) the resources of a request."""
        usage = self.usage.setdefault(team, TeamUsage())
        usage.accelerators += sign * demand.members * demand.accelerators
        usage.slots += sign * demand.members

    def dominant_share(self, team: str, accelerators: int, slots: int) -> float:
        """Return a team's dominant share of these totals, divided by the team's weight."""
        usage = self.usage.get(team)
        if usage is None:
            return 0.0
        share = max(usage.accelerators / max(accelerators, 1), usage.slots / max(slots, 1))
        return share / max(self.weights.get(team, 1.0), 0.001)

    def rank(self, share: float, waited_ms: int) -> float:
        """Return the rank of a request; the lowest starts next.

        The rank is the share minus an allowance for the time that the request has waited.
        """
        return share - AGEING_SHARE_PER_HOUR * waited_ms / MS_PER_HOUR
