"""Count what workers did, outside the system.

One log is shared by all workers of a run. It is the witness for three promises: a request that is
not idempotent starts at most once, no member of a gang runs unless all members hold their leases,
and no worker is asked for more than it has.
"""

from collections import Counter
from dataclasses import dataclass, field

from agateferry_standins.worker.messages import LeaseRequest

Attempt = tuple[str, int]


@dataclass(slots=True)
class GangAttempt:
    """The members of one attempt of a gang, by what they have reached."""

    members: int
    holding: set[int] = field(default_factory=set)
    started: set[int] = field(default_factory=set)
    finished: set[int] = field(default_factory=set)

    @property
    def partial(self) -> bool:
        """Tell whether some member did its whole work while another never began."""
        return bool(self.finished) and len(self.started) < self.members


class StartLog:
    """Collect the starts and ends that every stand-in worker saw."""

    def __init__(self) -> None:
        self.starts: Counter[tuple[str, str, int]] = Counter()
        self.finishes: Counter[tuple[str, str, int]] = Counter()
        self.violations: Counter[str] = Counter()
        self._gangs: dict[Attempt, GangAttempt] = {}
        self._early: set[Attempt] = set()

    def held(self, asked: LeaseRequest) -> None:
        """Note that a member holds its lease."""
        if asked.members > 1:
            self._gang(asked).holding.add(asked.member)

    def let_go(self, asked: LeaseRequest) -> None:
        """Note that a member's reservation ended before it started."""
        if asked.members > 1:
            self._gang(asked).holding.discard(asked.member)

    def started(self, asked: LeaseRequest, key: str) -> None:
        """Note the start of a task; `key` is the caller's name of the request, if it gave one."""
        self.starts[(asked.job, key or asked.request_id, asked.member)] += 1
        if asked.members == 1:
            return
        gang = self._gang(asked)
        gang.holding.add(asked.member)
        gang.started.add(asked.member)
        if len(gang.holding) < asked.members:
            self._early.add((asked.request_id, asked.attempt))

    def finished(self, asked: LeaseRequest, key: str) -> None:
        """Note that a task did its whole work."""
        self.finishes[(asked.job, key or asked.request_id, asked.member)] += 1
        if asked.members > 1:
            self._gang(asked).finished.add(asked.member)

    def violated(self, what: str) -> None:
        """Note that a worker was asked for more than it has."""
        self.violations[what] += 1

    def duplicated(self, jobs: frozenset[str]) -> list[tuple[str, str, int]]:
        """Return the tasks of these jobs that started more than once."""
        return [task for task, n in self.starts.items() if n > 1 and task[0] in jobs]

    def partial_gangs(self) -> list[Attempt]:
        """Return the attempts of which a part ran without the whole."""
        late = {attempt for attempt, gang in self._gangs.items() if gang.partial}
        return sorted(late | self._early)

    def _gang(self, asked: LeaseRequest) -> GangAttempt:
        attempt = (asked.request_id, asked.attempt)
        return self._gangs.setdefault(attempt, GangAttempt(asked.members))
