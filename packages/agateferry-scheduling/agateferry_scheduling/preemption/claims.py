"""Claims: workers reserved for a request that starts there once the preempted work has stopped."""

from collections import defaultdict
from dataclasses import dataclass

from agateferry_scheduling.topology import Allocation, Topology
from agateferry_scheduling.topology.resources import Resources


@dataclass(slots=True)
class Claim:
    """A pending allocation, and the time by which its victims must have stopped."""

    allocation: Allocation
    stop_by_ms: int

    @property
    def request_id(self) -> str:
        """Return the id of the request that holds the claim."""
        return self.allocation.request.request_id


class Claims:
    """The open claims of a zone.

    Of two claims on the same worker the one with the earlier stop deadline goes first, so an urgent
    start never waits for a reclaim that has more time.
    """

    def __init__(self, topology: Topology) -> None:
        self._topology = topology
        self.by_request_id: dict[str, Claim] = {}

    def add(self, claim: Claim) -> None:
        """Add a claim, by the id of its request."""
        self.by_request_id[claim.request_id] = claim

    def remove(self, request_id: str) -> Claim | None:
        """Remove and return a claim; return None when there is none."""
        return self.by_request_id.pop(request_id, None)

    def ready(self) -> list[Claim]:
        """Return the claims that can all start now, the earliest stop deadline first."""
        used: dict[str, Resources] = defaultdict(Resources)
        ready = []
        for claim in sorted(self.by_request_id.values(), key=lambda c: c.stop_by_ms):
            demand = claim.allocation.request.demand
            counts = claim.allocation.member_counts
            fits = all(
                self._free_including_pending(name).minus(used[name]).fitting_members(demand)
                >= members
                for name, members in counts.items()
            )
            if not fits:
                continue
            ready.append(claim)
            for name, members in counts.items():
                used[name].add(demand, members)
        return ready

    def unschedulable(self) -> list[Claim]:
        """Return the claims on workers that were lost or no longer accept new work."""
        return [
            claim
            for claim in self.by_request_id.values()
            if not all(self._is_schedulable(name) for name in claim.allocation.member_counts)
        ]

    def _free_including_pending(self, name: str) -> Resources:
        state = self._topology.workers.get(name)
        return Resources() if state is None else state.free_including_pending()

    def _is_schedulable(self, name: str) -> bool:
        state = self._topology.workers.get(name)
        return state is not None and state.is_schedulable()
