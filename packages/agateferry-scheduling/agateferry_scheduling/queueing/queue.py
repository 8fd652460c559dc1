"""The waiting requests, grouped by team, job and demand.

Requests of one team and job with the same demand form a group: when the oldest of them cannot be
placed, neither can the others. So a scheduling pass tries groups instead of requests.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import islice

from agateferry_core.demand import Demand, Urgency
from agateferry_scheduling.scheduler.messages import PendingRequest

LARGE_REQUEST_ACCELERATORS = 8
LARGE_REQUEST_MEMBERS = 4
MIN_GROUPS_PER_TEAM = 2


@dataclass(frozen=True, slots=True)
class RequestGroupKey:
    """The properties that all requests of a group share."""

    team: str
    job: str
    urgency: Urgency
    demand: Demand
    preemptible: bool


@dataclass(slots=True)
class RequestGroup:
    """Requests with the same key in submission order, and what the oldest waits for.

    `searched_position` is the position in the log of freed workers up to which the search for the
    oldest request found no placement; -1 makes the next search consider all workers.
    """

    key: RequestGroupKey
    requests: OrderedDict[str, PendingRequest] = field(default_factory=OrderedDict)
    waits_for: str = "its turn"
    tried_ms: int = -1
    searched_position: int = -1
    reclaim_tried_ms: int = -1

    def head(self) -> PendingRequest:
        """Return the oldest request of the group."""
        return next(iter(self.requests.values()))


def group_key_of(request: PendingRequest) -> RequestGroupKey:
    """Return the key of the group to which a request belongs."""
    return RequestGroupKey(
        request.team, request.job, request.urgency, request.demand, request.preemptible
    )


def is_large(request: PendingRequest) -> bool:
    """Return whether a request is so large that small requests can starve it.

    Urgent requests never count as large.
    """
    demand = request.demand
    wanted = demand.members * demand.accelerators
    large = wanted >= LARGE_REQUEST_ACCELERATORS or demand.members >= LARGE_REQUEST_MEMBERS
    return large and request.urgency is not Urgency.URGENT


class Queue:
    """The groups of waiting requests, with counts by team and a heap of deadlines.

    `by_team` maps urgency (True for urgent requests), then the team, to the team's groups.
    """

    def __init__(self) -> None:
        self.groups: dict[RequestGroupKey, RequestGroup] = {}
        self.group_by_request_id: dict[str, RequestGroup] = {}
        self.by_team: dict[bool, dict[str, OrderedDict[RequestGroupKey, RequestGroup]]] = {
            True: {},
            False: {},
        }
        self.count_by_team: dict[str, int] = {}
        self._large: dict[RequestGroupKey, RequestGroup] = {}
        self._deadlines: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self.group_by_request_id)

    def add(self, request: PendingRequest) -> RequestGroup:
        """Add a request to its group; a request that is already queued stays unchanged."""
        queued = self.group_by_request_id.get(request.request_id)
        if queued is not None:
            return queued
        key = group_key_of(request)
        group = self.groups.get(key)
        if group is None:
            group = RequestGroup(key)
            self.groups[key] = group
            if is_large(request):
                self._large[key] = group
            urgent = key.urgency is Urgency.URGENT
            self.by_team[urgent].setdefault(key.team, OrderedDict())[key] = group
        group.requests[request.request_id] = request
        if len(group.requests) > 1 and request.submitted_ms < group.head().submitted_ms:
            group.requests.move_to_end(request.request_id, last=False)
            group.searched_position = -1
        self.group_by_request_id[request.request_id] = group
        if request.deadline_ms is not None:
            heappush(self._deadlines, (request.deadline_ms, request.request_id))
        self.count_by_team[key.team] = self.count_by_team.get(key.team, 0) + 1
        return group

    def remove(self, request_id: str) -> PendingRequest | None:
        """Remove and return a request; return None when it is not queued."""
        group = self.group_by_request_id.pop(request_id, None)
        if group is None:
            return None
        if next(iter(group.requests)) == request_id:
            group.searched_position = -1
        request = group.requests.pop(request_id)
        self.count_by_team[request.team] -= 1
        if not group.requests:
            del self.groups[group.key]
            self._large.pop(group.key, None)
            teams = self.by_team[group.key.urgency is Urgency.URGENT]
            del teams[request.team][group.key]
            if not teams[request.team]:
                del teams[request.team]
        return request

    def get(self, request_id: str) -> PendingRequest | None:
        """Return a queued request, or None."""
        group = self.group_by_request_id.get(request_id)
        return None if group is None else group.requests[request_id]

    def pop_expired(self, now_ms: int) -> list[PendingRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            deadline_ms, request_id = heappop(self._deadlines)
            request = self.get(request_id)
            if request is not None and request.deadline_ms == deadline_ms:
                self.remove(request_id)
                expired.append(request)
        return expired

    def oldest_large(self) -> PendingRequest | None:
        """Return the large request that has waited longest, or None."""
        heads = [group.head() for group in self._large.values()]
        return min(heads, key=lambda r: (r.submitted_ms, r.request_id), default=None)

    def next_groups(self, urgent: bool, team: str, limit: int) -> list[RequestGroup]:
        """Return up to `limit` groups of a team (at least two): the first, then others in rotation.

        The groups behind the first one that are returned move to the end, so that each group gets
        its turn.
        """
        groups = self.by_team[urgent].get(team)
        if not groups:
            return []
        limit = max(limit, MIN_GROUPS_PER_TEAM)
        chosen = list(islice(groups.values(), limit))
        if len(groups) > limit:
            for group in chosen[1:]:
                groups.move_to_end(group.key)
        return chosen
