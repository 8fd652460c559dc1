"""The workers that may run subtasks of one shape, as the planner searches them."""

import math
from collections import defaultdict
from collections.abc import Sequence
from functools import cached_property

from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.planning.worker_allocation import WorkerAllocation

ShapeKey = tuple[str, Resources, str, tuple[str, ...]]
"""A service, what a subtask needs, its worker's label, and the allowed regions (empty: all)."""
CandidateKey = tuple[ShapeKey, float]
"""The shape, and the largest pace of its workers (infinite: any)."""


class CandidateWorkers:
    """The workers that may run subtasks of one shape.

    `feasible` ones could if they were empty and answered, `expected` ones answer or may do so soon,
    `usable` ones may start runs now. The last two are also grouped by rack. `awaited` ones will be
    usable once they have reported.
    """

    def __init__(
        self,
        key: ShapeKey,
        feasible: list[WorkerAllocation],
        pace_limit: float = math.inf,
    ) -> None:
        self.key: CandidateKey = (key, pace_limit)
        self._within_pace: dict[float, CandidateWorkers] = {}
        self.service = key[0]
        self.has_pace_limit = pace_limit < math.inf
        """Whether slower workers are left out, so that a rack may hold more than it shows here."""
        self.feasible = feasible
        self.expected = [worker for worker in feasible if worker.health.is_expected]
        self.usable = [worker for worker in feasible if worker.health.may_start_runs]
        self.awaited = [worker for worker in feasible if worker.health.reports_soon]

    def within_pace(self, limit: float) -> "CandidateWorkers":
        """Return those of the workers whose runs take up to `limit` times as long as usual."""
        found = self._within_pace.get(limit)
        if found is None:
            shape, _ = self.key
            workers = [worker for worker in self.feasible if worker.pace <= limit]
            found = CandidateWorkers(shape, workers, limit)
            self._within_pace[limit] = found
        return found

    @cached_property
    def expected_racks(self) -> list[list[WorkerAllocation]]:
        """Return the expected workers of each rack; only gangs that prefer one rack ask for it."""
        return _by_rack(self.expected)

    @cached_property
    def usable_racks(self) -> list[list[WorkerAllocation]]:
        """Return the usable workers of each rack."""
        return _by_rack(self.usable)


def _by_rack(workers: Sequence[WorkerAllocation]) -> list[list[WorkerAllocation]]:
    racks: dict[str, list[WorkerAllocation]] = defaultdict(list)
    for worker in workers:
        racks[worker.incarnation.rack].append(worker)
    return list(racks.values())
