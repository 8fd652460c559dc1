"""Compute the availability of layouts of voters, as a caller in one zone sees it.

This is the algorithm of Appendix A of van Renesse and Tanenbaum, "Voting with Ghosts": enumerate
every combination of components that are up or down, and sum the probabilities of those in which
enough votes can be reached. Components that never fail are left out of the enumeration. The caller
passes the test for "enough votes" as a function, so that it can also require a copy on a disk.

Run `python -m agateferry_state.members.availability` for the table in docs/design/layout.md.
"""

import itertools
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from agateferry_state.members.members import Member, MemberId, Members
from agateferry_state.members.quorum import can_commit

AVAILABILITY_PAIRS = ((0.99, 0.99), (0.99, 0.999), (0.999, 0.99), (0.999, 0.999))
"""Pairs of the availability of a host and that of a zone's link to the other zones."""

SECONDS_PER_YEAR = 365 * 24 * 3600


@dataclass(slots=True)
class Network:
    """Components that fail independently, with the availability (0 to 1) and neighbours of each."""

    availability: dict[str, float] = field(default_factory=dict)
    neighbours: dict[str, set[str]] = field(default_factory=dict)

    def add(self, component: str, availability: float, *neighbours: str) -> None:
        """Add a component that is connected to components added before."""
        self.availability[component] = availability
        self.neighbours[component] = set(neighbours)
        for other in neighbours:
            self.neighbours[other].add(component)

    def reachable(self, start: str, is_up: Mapping[str, bool]) -> set[str]:
        """Return the components that are up and reachable from `start`, including `start`."""
        found: set[str] = set()
        pending = [start] if is_up[start] else []
        while pending:
            component = pending.pop()
            found.add(component)
            pending.extend(
                c for c in self.neighbours[component] - found if is_up[c] and c not in pending
            )
        return found


def availability(network: Network, start: str, is_enough: Callable[[set[str]], bool]) -> float:
    """Return the probability that `is_enough` accepts the components reachable from `start`."""
    fallible = [component for component, value in network.availability.items() if value < 1]
    is_up = dict.fromkeys(network.availability, True)
    total = 0.0
    for states in itertools.product((True, False), repeat=len(fallible)):
        is_up.update(zip(fallible, states, strict=True))
        if is_enough(network.reachable(start, is_up)):
            total += _probability(network, fallible, states)
    return total


def _probability(network: Network, fallible: Sequence[str], states: Sequence[bool]) -> float:
    result = 1.0
    for component, is_up in zip(fallible, states, strict=True):
        value = network.availability[component]
        result *= value if is_up else 1 - value
    return result


@dataclass(frozen=True, slots=True)
class Layout:
    """The voters in each of three zones: True for a voter with a disk, False for one without."""

    name: str
    disks: tuple[tuple[bool, ...], ...]

    def unavailability(self, host: float, link: float) -> float:
        """Return the probability that a caller in the first zone cannot get an entry committed.

        `host` is the availability of each host, `link` that of each zone's link to the backbone.
        """
        network = Network()
        network.add("backbone", 1.0)
        voters = []
        for zone, disks in enumerate(self.disks):
            network.add(f"link-{zone}", link, "backbone")
            network.add(f"zone-{zone}", 1.0, f"link-{zone}")
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
    """Return the unavailability of each layout, in percent and seconds a year, as Markdown."""
    head = " | ".join(f"host {host}, way {link}" for host, link in AVAILABILITY_PAIRS)
    lines = [f"| layout | {head} |", "|---" * (len(AVAILABILITY_PAIRS) + 1) + "|"]
    for layout in LAYOUTS:
        values = [layout.unavailability(host, link) for host, link in AVAILABILITY_PAIRS]
        cells = [f"{100 * v:.5f}% ({v * SECONDS_PER_YEAR:,.0f} s)" for v in values]
        lines.append(" | ".join([f"| {layout.name}", *cells]) + " |")
    return "\n".join(lines)


if __name__ == "__main__":
    print(table())
