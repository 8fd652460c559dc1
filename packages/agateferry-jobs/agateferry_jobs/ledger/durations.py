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


class DurationEstimate(Struct):
    """Sums over the done runs of one queue; durations are natural logarithms of ms."""

    runs: int = 0
    sum_log: float = 0.0
    sum_log_squared: float = 0.0
    sum_error_squared: float = 0.0

    def record(self, declared_ms: int, real_ms: int) -> None:
        """Record a run that ended as done; one without a declared duration is ignored."""
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
        mean = self.sum_log / self.runs
        variance = max(MIN_VARIANCE, self.sum_log_squared / self.runs - mean * mean)
        error = max(MIN_VARIANCE, self.sum_error_squared / self.runs)
        declared_weight = variance / (variance + error)
        return round(
            math.exp(declared_weight * math.log(declared_ms) + (1 - declared_weight) * mean)
        )
