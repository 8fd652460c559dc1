"""How long runs of a queue really take, beside what its callers declare.

Declared lengths may be off by a factor of ten. From the runs that ended as done the ledger keeps,
for each queue, how lengths spread and how far declarations were off, both as logarithms. Together
they give a better guess, weighted by the inverse of each variance, as for two independent
measurements of one quantity.

    record.note(declared_ms=2000, real_ms=8000)
    record.expected_duration_ms(declared_ms=2500)
"""

import math

from msgspec import Struct

MIN_RUNS = 4
"""With fewer runs the declared length is taken as it is."""
LEAST_VARIANCE = 0.01
"""A floor under both variances, a spread of a tenth, so that equal runs do not count as certain."""


class DurationEstimate(Struct):
    """Sums over the runs of one queue; lengths are natural logarithms of ms."""

    runs: int = 0
    sum_log: float = 0.0
    sum_log_squared: float = 0.0
    sum_error_squared: float = 0.0

    def note(self, declared_ms: int, real_ms: int) -> None:
        """Take in a run that ended as done."""
        if declared_ms <= 0 or real_ms <= 0:
            return
        real = math.log(real_ms)
        self.runs += 1
        self.sum_log += real
        self.sum_log_squared += real * real
        self.sum_error_squared += (math.log(declared_ms) - real) ** 2

    def expected_duration_ms(self, declared_ms: int) -> int:
        """Return the length that is expected of a run whose caller declared this much."""
        if self.runs < MIN_RUNS or declared_ms <= 0:
            return declared_ms
        mean = self.sum_log / self.runs
        variance = max(LEAST_VARIANCE, self.sum_log_squared / self.runs - mean * mean)
        error = max(LEAST_VARIANCE, self.sum_error_squared / self.runs)
        trust = variance / (variance + error)
        return round(math.exp(trust * math.log(declared_ms) + (1 - trust) * mean))
