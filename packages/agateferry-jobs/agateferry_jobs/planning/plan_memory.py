"""What is kept from one plan to the next, so that a plan need not look at everything anew."""

from collections.abc import Collection
from dataclasses import dataclass, field

from agateferry_jobs.planning.readiness import ScanPositions
from agateferry_jobs.planning.timing import LargeJobEstimates


@dataclass(frozen=True, slots=True)
class PlanMemory:
    """The memory of one leader's plans."""

    positions: ScanPositions = field(default_factory=ScanPositions)
    estimates: LargeJobEstimates = field(default_factory=LargeJobEstimates)

    def begin_plan(self, jobs: Collection[str], now_ms: int) -> None:
        """Begin a plan over the jobs with these ids."""
        self.positions.keep_only(jobs)
        self.estimates.begin_plan(now_ms)
