"""Promises to requests that start once the work that was told to stop has let go."""

from collections import defaultdict
from dataclasses import dataclass

from agateferry_scheduling.topology import Allocation, Topology
from agateferry_scheduling.topology.amount import Amount


@dataclass(slots=True)
class Claim:
    """A pending allocation and when the work in its way must have stopped."""

    allocation: Allocation
    stop_by_ms: int

    @property
    def request_id(self) -> str:
        """Return the id of the request that the workers are promised to."""
        return self.allocation.request.request_id


class Claims:
    """Keep the open claims, and find those whose workers are vacant.

    A claim of shorter term on the same worker goes first, so an urgent start never waits for a
    reclaim that has more time.
    """

    def __init__(self, topology: Topology) -> None:
        self._topology = topology
        self.by_request_id: dict[str, Claim] = {}

    def add(self, claim: Claim) -> None:
        """Open a claim."""
        self.by_request_id[claim.request_id] = claim

    def remove(self, request_id: str) -> Claim | None:
        """Close a claim; return None when there is none."""
        return self.by_request_id.pop(request_id, None)

    def ready(self) -> list[Claim]:
        """Return the claims that can start now, all at once, by their terms."""
        used: dict[str, Amount] = defaultdict(Amount)
        ready = []
        for claim in sorted(self.by_request_id.values(), key=lambda c: c.stop_by_ms):
            demand = claim.allocation.request.demand
            counts = claim.allocation.member_counts
            fits = all(
                self._vacant(name).minus(used[name]).fitting_members(demand) >= members
                for name, members in counts.items()
            )
            if not fits:
                continue
            ready.append(claim)
            for name, members in counts.items():
                used[name].add(demand, members)
        return ready

    def unschedulable(self) -> list[Claim]:
        """Return the claims on workers that take no new work any more."""
        return [
            claim
            for claim in self.by_request_id.values()
            if not all(self._is_open(name) for name in claim.allocation.member_counts)
        ]

    def _vacant(self, name: str) -> Amount:
        state = self._topology.workers.get(name)
        return Amount() if state is None else state.free_including_pending()

    def _is_open(self, name: str) -> bool:
        state = self._topology.workers.get(name)
        return state is not None and state.is_schedulable()
