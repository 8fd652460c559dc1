"""Corrections to declared run times, learned per job and per team.

Users' estimates are known to be far off (Mu'alem and Feitelson, 2001). The ratio of the actual to
the declared run time is kept as a moving mean and variance of its logarithm, so that a tenfold
error has the same weight in either direction.
"""

import math
from dataclasses import dataclass

from agateferry_scheduling.scheduler.messages import PendingRequest

LEARNING_RATE = 0.2
MIN_RUNS_FOR_LOWER_BOUND = 5
MIN_RUN_MS = 1


@dataclass(slots=True)
class LogRatio:
    """The moving mean and variance of log(actual / declared), and the number of runs."""

    mean: float = 0.0
    variance: float = 0.0
    runs: int = 0

    def learn(self, value: float) -> None:
        """Add a value; the plain mean of the first runs, then exponential smoothing."""
        self.runs += 1
        rate = max(LEARNING_RATE, 1.0 / self.runs)
        deviation = value - self.mean
        self.mean += rate * deviation
        self.variance = (1.0 - rate) * (self.variance + rate * deviation * deviation)


class Estimates:
    """Estimate the likely run time of a request, with an upper and a lower bound."""

    def __init__(self) -> None:
        self._jobs: dict[tuple[str, str], LogRatio] = {}
        self._teams: dict[str, LogRatio] = {}

    def learn(self, request: PendingRequest, run_ms: int) -> None:
        """Learn from a request that finished."""
        actual_ms = max(run_ms, MIN_RUN_MS)
        value = math.log(actual_ms / max(request.declared_run_ms, MIN_RUN_MS))
        self._jobs.setdefault((request.team, request.job), LogRatio()).learn(value)
        self._teams.setdefault(request.team, LogRatio()).learn(value)

    def likely_ms(self, request: PendingRequest) -> int:
        """Return the declared run time, corrected by what was learned."""
        return self._corrected_ms(request, self._log_ratio(request).mean)

    def at_most_ms(self, request: PendingRequest) -> int:
        """Return a run time that most runs do not exceed: one standard deviation above the mean."""
        ratio = self._log_ratio(request)
        return self._corrected_ms(request, ratio.mean + math.sqrt(ratio.variance))

    def at_least_ms(self, request: PendingRequest) -> int:
        """Return a run time that nearly all runs reach: two standard deviations below the mean.

        It is 0 while too few runs are known.
        """
        ratio = self._log_ratio(request)
        if ratio.runs < MIN_RUNS_FOR_LOWER_BOUND:
            return 0
        return self._corrected_ms(request, ratio.mean - 2.0 * math.sqrt(ratio.variance))

    def _log_ratio(self, request: PendingRequest) -> LogRatio:
        learned = self._jobs.get((request.team, request.job))
        if learned is None:
            learned = self._teams.get(request.team)
        return learned or LogRatio()

    def _corrected_ms(self, request: PendingRequest, log_ratio: float) -> int:
        return int(max(request.declared_run_ms, MIN_RUN_MS) * math.exp(log_ratio))
