"""A log of what the workers did, kept independently of the system under test.

One log is shared by all workers of a run. Three guarantees are checked against it: a request that
is not idempotent starts at most once, no member of a gang runs unless all members hold their
leases, and no worker receives more leases or connections than it has capacity for.
"""

from collections import Counter
from dataclasses import dataclass, field

from agateferry_standins.worker.messages import LeaseRequest

AttemptKey = tuple[str, int]


@dataclass(slots=True)
class GangAttempt:
    """The members of one attempt of a gang that hold a lease, have started or have finished."""

    members: int
    holding: set[int] = field(default_factory=set)
    started: set[int] = field(default_factory=set)
    finished: set[int] = field(default_factory=set)

    @property
    def is_partial(self) -> bool:
        """Return whether a member finished while another never started."""
        return bool(self.finished) and len(self.started) < self.members


class StartLog:
    """Count the starts, finishes and violations at all stand-in workers of a run.

    `starts` and `finishes` are by job, request key and member; `violations` are by kind.
    """

    def __init__(self) -> None:
        self.starts: Counter[tuple[str, str, int]] = Counter()
        self.finishes: Counter[tuple[str, str, int]] = Counter()
        self.violations: Counter[str] = Counter()
        self._gangs: dict[AttemptKey, GangAttempt] = {}
        self._premature_starts: set[AttemptKey] = set()

    def record_lease(self, request: LeaseRequest) -> None:
        """Record that a member of a gang holds a lease, reserved or running."""
        if request.members > 1:
            self._gang(request).holding.add(request.member)

    def record_reservation_end(self, request: LeaseRequest) -> None:
        """Record that a member's reservation expired or was stopped before the member started."""
        if request.members > 1:
            self._gang(request).holding.discard(request.member)

    def record_start(self, request: LeaseRequest, key: str) -> None:
        """Record the start of a task; `key` is the key in its payload, or empty."""
        self.starts[(request.job, key or request.request_id, request.member)] += 1
        if request.members == 1:
            return
        gang = self._gang(request)
        gang.holding.add(request.member)
        gang.started.add(request.member)
        if len(gang.holding) < request.members:
            self._premature_starts.add((request.request_id, request.attempt))

    def record_finish(self, request: LeaseRequest, key: str) -> None:
        """Record that a task completed all its work."""
        self.finishes[(request.job, key or request.request_id, request.member)] += 1
        if request.members > 1:
            self._gang(request).finished.add(request.member)

    def record_violation(self, kind: str) -> None:
        """Record a lease beyond a worker's capacity or after it left, or too many connections."""
        self.violations[kind] += 1

    def duplicated_tasks(self, jobs: frozenset[str]) -> list[tuple[str, str, int]]:
        """Return the job, key and member of each task of `jobs` that started more than once."""
        return [task for task, n in self.starts.items() if n > 1 and task[0] in jobs]

    def partial_gangs(self) -> list[AttemptKey]:
        """Return attempts that ran only in part or started before all members held leases."""
        incomplete = {attempt for attempt, gang in self._gangs.items() if gang.is_partial}
        return sorted(incomplete | self._premature_starts)

    def _gang(self, request: LeaseRequest) -> GangAttempt:
        attempt = (request.request_id, request.attempt)
        return self._gangs.setdefault(attempt, GangAttempt(request.members))
