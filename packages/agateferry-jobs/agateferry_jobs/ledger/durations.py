"""Estimate how long runs of a queue take, from past runs and from what callers declare.

Declared durations may be off by a factor of ten. From the runs that ended as done the ledger keeps,
for each queue, the spread of the real durations and the error of the declared ones, both as
logarithms. The estimate combines the mean real duration with the declared one, each weighted by the
inverse of its variance, as for two independent measurements of one quantity.

    estimate.record(declared_ms=2000, real_ms=8000)
    estimate.expected_duration_ms(declared_ms=2500)
"""

import math

from msgspec import Struct

MIN_RUNS = 4
"""With fewer runs the declared duration is used as it is."""
MIN_VARIANCE = 0.01
"""A floor for both variances, a spread of 10 %, so that equal runs do not count as exact."""

MIN_JOB_VARIANCE = 0.4**2
"""How much the work of a queue's jobs differs at least; the runs of one job say little of it."""
UNKNOWN_VARIANCE = 0.9**2
"""How far declared durations may be off, as long as no runs show it."""


class Reference(Struct, frozen=True):
    """What the log duration of a run in ms is expected to be on a worker of usual pace."""

    mean_log: float
    variance: float


class DurationEstimate(Struct):
    """Sums over the done runs of one queue; durations are natural logarithms of ms."""

    runs: int = 0
    sum_log: float = 0.0
    sum_log_squared: float = 0.0
    sum_error_squared: float = 0.0

    def record(self, declared_ms: int, real_ms: float) -> None:
        """Record a run that ended as done; one without a declared duration is ignored.

        `real_ms` is the duration on a worker of usual pace.
        """
        if declared_ms <= 0 or real_ms <= 0:
            return
        log_real = math.log(real_ms)
        self.runs += 1
        self.sum_log += log_real
        self.sum_log_squared += log_real * log_real
        self.sum_error_squared += (math.log(declared_ms) - log_real) ** 2

    def expected_duration_ms(self, declared_ms: int) -> int:
        """Return the expected duration of a run whose caller declared this many ms."""
        if self.runs < MIN_RUNS or declared_ms <= 0:
            return declared_ms
        return round(math.exp(self._combine(declared_ms).mean_log))

    def reference(self, declared_ms: int) -> Reference | None:
        """Return what to expect of a run with this declared duration; None if nothing is known."""
        if declared_ms <= 0:
            return None
        if self.runs < MIN_RUNS:
            return Reference(math.log(declared_ms), UNKNOWN_VARIANCE)
        combined = self._combine(declared_ms)
        return Reference(combined.mean_log, max(MIN_JOB_VARIANCE, combined.variance))

    def _combine(self, declared_ms: int) -> Reference:
        mean = self.sum_log / self.runs
        variance = max(MIN_VARIANCE, self.sum_log_squared / self.runs - mean * mean)
        error = max(MIN_VARIANCE, self.sum_error_squared / self.runs)
        declared_weight = variance / (variance + error)
        mean_log = declared_weight * math.log(declared_ms) + (1 - declared_weight) * mean
        return Reference(mean_log, declared_weight * error)
