"""How available layouts of voters are, seen from one place, by enumeration.

This is the algorithm of Appendix A of van Renesse and Tanenbaum, "Voting with Ghosts": walk over
every combination of parts that are up and down, and add up the probabilities of those in which
enough votes can be reached. Parts that never fail are left out of the combinations, and what is
enough is a function, so that the rule of one copy on a disk can be asked for too.

Run `python -m agateferry_state.members.availability` for the table of docs/design/layout.md.
"""

import itertools
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from agateferry_state.members.members import Member, MemberId, Members
from agateferry_state.members.quorum import can_commit

HOST_AND_WAY = ((0.99, 0.99), (0.99, 0.999), (0.999, 0.99), (0.999, 0.999))
"""The pairs of availabilities, of a host and of a zone's way to the others, that are compared."""

SECONDS_PER_YEAR = 365 * 24 * 3600


@dataclass(slots=True)
class Network:
    """Parts with their availabilities, and which of them are joined."""

    availability: dict[str, float] = field(default_factory=dict)
    joined: dict[str, set[str]] = field(default_factory=dict)

    def add(self, part: str, availability: float, *neighbours: str) -> None:
        """Add a part, joined to parts that were added before."""
        self.availability[part] = availability
        self.joined[part] = set(neighbours)
        for other in neighbours:
            self.joined[other].add(part)

    def reachable(self, start: str, is_up: Mapping[str, bool]) -> set[str]:
        """Return the parts that are up and can be reached from `start`, itself included."""
        found: set[str] = set()
        waiting = [start] if is_up[start] else []
        while waiting:
            part = waiting.pop()
            found.add(part)
            waiting.extend(p for p in self.joined[part] - found if is_up[p] and p not in waiting)
        return found


def availability(network: Network, start: str, suffices: Callable[[set[str]], bool]) -> float:
    """Return the probability that what `start` reaches suffices."""
    unsure = [part for part, value in network.availability.items() if value < 1]
    is_up = dict.fromkeys(network.availability, True)
    total = 0.0
    for states in itertools.product((True, False), repeat=len(unsure)):
        is_up.update(zip(unsure, states, strict=True))
        if suffices(network.reachable(start, is_up)):
            total += _probability(network, unsure, states)
    return total


def _probability(network: Network, unsure: Sequence[str], states: Sequence[bool]) -> float:
    result = 1.0
    for part, is_up in zip(unsure, states, strict=True):
        value = network.availability[part]
        result *= value if is_up else 1 - value
    return result


@dataclass(frozen=True, slots=True)
class Layout:
    """Voters in each of three zones, each one with (True) or without (False) a disk."""

    name: str
    disks: tuple[tuple[bool, ...], ...]

    def unavailability(self, host: float, way: float) -> float:
        """Return how often a caller in the first zone cannot have an entry committed."""
        network = Network()
        network.add("backbone", 1.0)
        voters = []
        for zone, disks in enumerate(self.disks):
            network.add(f"way-{zone}", way, "backbone")
            network.add(f"zone-{zone}", 1.0, f"way-{zone}")
            for number, has_disk in enumerate(disks):
                name = f"host-{zone}-{number}"
                network.add(name, host, f"zone-{zone}")
                voters.append(Member(MemberId(name), has_disk))
        members = Members(tuple(voters))
        return 1 - availability(network, "zone-0", lambda up: _commits(members, up))


def _commits(members: Members, up: set[str]) -> bool:
    return can_commit(members, {m.id for m in members.voters if m.id.host in up}, ())


LAYOUTS = (
    Layout("one group of 9", (((True,) * 3),) * 3),
    Layout("one voter in each zone", ((True,),) * 3),
    Layout("cell of 3 in the zone", ((True,) * 3, (), ())),
    Layout("cell of 3, two disks", ((True, True, False), (), ())),
    Layout("cell of 3, one disk", ((True, False, False), (), ())),
    Layout("cell of 3 and 2 outside", ((True,) * 3, (True,), (True,))),
    Layout("cell of 3, one disk, and 2 outside", ((True, False, False), (True,), (True,))),
)


def table() -> str:
    """Return the table of layouts as Markdown, in percent and seconds a year unavailable."""
    head = " | ".join(f"host {host}, way {way}" for host, way in HOST_AND_WAY)
    lines = [f"| layout | {head} |", "|---" * (len(HOST_AND_WAY) + 1) + "|"]
    for layout in LAYOUTS:
        values = [layout.unavailability(host, way) for host, way in HOST_AND_WAY]
        cells = [f"{100 * v:.5f}% ({v * SECONDS_PER_YEAR:,.0f} s)" for v in values]
        lines.append(" | ".join([f"| {layout.name}", *cells]) + " |")
    return "\n".join(lines)


if __name__ == "__main__":
    print(table())
