"""Corrections to declared run times, learned for each team and job.

Users' estimates are known to be far off (Mu'alem and Feitelson, 2001). The ratio of the real to
the declared run time is kept as a moving mean and variance of its logarithm, because errors of ten
times either way then weigh the same.
"""

import math
from dataclasses import dataclass

from agateferry_scheduling.scheduler.messages import PendingRequest

LEARNING_RATE = 0.2
CERTAIN_AFTER_RUNS = 5
SHORTEST_RUN_MS = 1


@dataclass(slots=True)
class Ratio:
    """The mean and variance of log(real / declared), and how many runs they come from."""

    mean: float = 0.0
    variance: float = 0.0
    runs: int = 0

    def learn(self, value: float) -> None:
        """Move towards a new value, by whole means at first."""
        self.runs += 1
        rate = max(LEARNING_RATE, 1.0 / self.runs)
        off = value - self.mean
        self.mean += rate * off
        self.variance = (1.0 - rate) * (self.variance + rate * off * off)


class Estimates:
    """Tell how long a request is likely to run, and at most and at least with fair certainty."""

    def __init__(self) -> None:
        self._jobs: dict[tuple[str, str], Ratio] = {}
        self._teams: dict[str, Ratio] = {}

    def learn(self, request: PendingRequest, run_ms: int) -> None:
        """Learn from a request that ran to its own end."""
        real = max(run_ms, SHORTEST_RUN_MS)
        value = math.log(real / max(request.declared_run_ms, SHORTEST_RUN_MS))
        self._jobs.setdefault((request.team, request.job), Ratio()).learn(value)
        self._teams.setdefault(request.team, Ratio()).learn(value)

    def likely_ms(self, request: PendingRequest) -> int:
        """Return the corrected run time."""
        return self._scaled(request, self._ratio(request).mean)

    def at_most_ms(self, request: PendingRequest) -> int:
        """Return a run time that most runs stay under: one standard deviation above the mean."""
        ratio = self._ratio(request)
        return self._scaled(request, ratio.mean + math.sqrt(ratio.variance))

    def at_least_ms(self, request: PendingRequest) -> int:
        """Return a run time that nearly all runs reach, or 0 while too few runs are known."""
        ratio = self._ratio(request)
        if ratio.runs < CERTAIN_AFTER_RUNS:
            return 0
        return self._scaled(request, ratio.mean - 2.0 * math.sqrt(ratio.variance))

    def _ratio(self, request: PendingRequest) -> Ratio:
        known = self._jobs.get((request.team, request.job))
        if known is None:
            known = self._teams.get(request.team)
        return known or Ratio()

    def _scaled(self, request: PendingRequest, log_ratio: float) -> int:
        return int(max(request.declared_run_ms, SHORTEST_RUN_MS) * math.exp(log_ratio))
