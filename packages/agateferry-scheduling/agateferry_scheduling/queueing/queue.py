"""The waiting requests, by urgency, team and likeness.

Requests of one team and job that ask for the same are alike: when the oldest of them finds no
place, the others find none either. So a decision step tries groups, and not requests.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import islice

from agateferry_core.demand import Demand, Urgency
from agateferry_scheduling.scheduler.messages import PendingRequest

LARGE_ACCELERATORS = 8
LARGE_MEMBERS = 4
LEAST_GROUPS = 2


@dataclass(frozen=True, slots=True)
class RequestGroupKey:
    """What alike requests have in common."""

    team: str
    job: str
    urgency: Urgency
    demand: Demand
    preemptible: bool


@dataclass(slots=True)
class RequestGroup:
    """Identical requests in submission order, and what the oldest waits for.

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
        """Return the oldest request."""
        return next(iter(self.requests.values()))


def group_key_of(request: PendingRequest) -> RequestGroupKey:
    """Return the key of the group that a request belongs to."""
    return RequestGroupKey(
        request.team, request.job, request.urgency, request.demand, request.preemptible
    )


def is_large(request: PendingRequest) -> bool:
    """Tell whether a request is a gang that small work can starve."""
    demand = request.demand
    wanted = demand.members * demand.accelerators
    large = wanted >= LARGE_ACCELERATORS or demand.members >= LARGE_MEMBERS
    return large and request.urgency is not Urgency.URGENT


class Queue:
    """Keep waiting requests in groups, and count them for each team."""

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
        """Add a request to its group; one that waits already stays as it is."""
        waiting = self.group_by_request_id.get(request.request_id)
        if waiting is not None:
            return waiting
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
        """Take a request out; return None when it does not wait."""
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
        """Return a waiting request."""
        group = self.group_by_request_id.get(request_id)
        return None if group is None else group.requests[request_id]

    def pop_expired(self, now_ms: int) -> list[PendingRequest]:
        """Take out the requests whose deadline has come."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            deadline_ms, request_id = heappop(self._deadlines)
            request = self.get(request_id)
            if request is not None and request.deadline_ms == deadline_ms:
                self.remove(request_id)
                expired.append(request)
        return expired

    def oldest_large(self) -> PendingRequest | None:
        """Return the large request that waits longest."""
        heads = [group.head() for group in self._large.values()]
        return min(heads, key=lambda r: (r.submitted_ms, r.request_id), default=None)

    def next_groups(self, urgent: bool, team: str, limit: int) -> list[RequestGroup]:
        """Return at least two groups of a team, the oldest and others in turn."""
        groups = self.by_team[urgent].get(team)
        if not groups:
            return []
        limit = max(limit, LEAST_GROUPS)
        some = list(islice(groups.values(), limit))
        if len(groups) > limit:
            for group in some[1:]:
                groups.move_to_end(group.key)
        return some
