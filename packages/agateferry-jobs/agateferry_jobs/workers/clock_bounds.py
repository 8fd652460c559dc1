"""What messages prove about the clock of one incarnation of a worker.

The clock is the worker's own, monotonic and up to `MAX_CLOCK_DRIFT` slow. An answer proves both
bounds: its clock was read after the order was sent and before the answer came. A report may have
been held up on its way for any time, so it proves a lower bound alone; and since it may be of
another writer, only as far as the upper bound allows.
"""

import math
from dataclasses import dataclass, replace

MAX_CLOCK_DRIFT = 0.02
"""The share by which a worker's clock may run slow, as the platform's documentation states."""
EXPIRY_MARGIN_MS = 150
"""Time waited beyond a lease's end, because the worker kills its runs a moment after it."""
CLOCK_PROOF_MARGIN_MS = 2_000
"""How much further an incarnation's clock must be than one that has started since could be.

It covers the time for which this process or its machine stood still, which its clock may not count.
"""


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A time on a worker's clock, and the local time for which it is a bound."""

    clock_ms: int
    at_ms: int

    def least_at(self, local_ms: int) -> float:
        """Return what the clock reads at least at a local time, if this is a lower bound."""
        elapsed_ms = local_ms - self.at_ms
        rate = 1 - MAX_CLOCK_DRIFT if elapsed_ms >= 0 else 1 / (1 - MAX_CLOCK_DRIFT)
        return self.clock_ms + elapsed_ms * rate

    def most_at(self, local_ms: int) -> int:
        """Return what the clock reads at most at a later local time, if this is an upper bound."""
        return self.clock_ms + local_ms - self.at_ms


@dataclass(frozen=True, slots=True)
class ClockBounds:
    """The bounds of an incarnation's clock.

    `most` is the closest upper bound of a clock that is not fast, and `newest` that of the newest
    answer, on which the drift of the two clocks has had the least effect. `alive_ms` is a local
    time at which the incarnation was certainly there.
    """

    least: ClockReading
    most: ClockReading
    newest: ClockReading
    alive_ms: int

    @classmethod
    def of_answer(cls, clock_ms: int, sent_ms: int, now_ms: int) -> "ClockBounds":
        """Return what an answer proves that arrives now, to an order that was sent at `sent_ms`."""
        most = ClockReading(clock_ms, sent_ms)
        return cls(ClockReading(clock_ms, now_ms), most, newest=most, alive_ms=sent_ms)

    def contradicts_answer(self, clock_ms: int, sent_ms: int, now_ms: int) -> bool:
        """Return whether these bounds and an answer can't both be of one incarnation's clock."""
        return self.excludes(clock_ms, sent_ms) or not self._allows(clock_ms, now_ms)

    def with_answer(self, clock_ms: int, sent_ms: int, now_ms: int) -> "ClockBounds":
        """Return the bounds after an answer that agrees with them; the closer ones are kept."""
        answered = ClockReading(clock_ms, sent_ms)
        return replace(
            self,
            least=self._later_least(clock_ms, now_ms),
            most=answered if clock_ms < self.most.most_at(sent_ms) else self.most,
            newest=answered if sent_ms >= self.newest.at_ms else self.newest,
            alive_ms=max(self.alive_ms, sent_ms),
        )

    def with_report(self, clock_ms: int, now_ms: int) -> "ClockBounds":
        """Return the bounds after a report; what it says beyond the upper bound doesn't count."""
        proved_ms = min(clock_ms, self.most.most_at(now_ms))
        written_ms = self.most.at_ms + proved_ms - self.most.clock_ms
        return replace(
            self,
            least=self._later_least(proved_ms, now_ms),
            alive_ms=max(self.alive_ms, written_ms),
        )

    def lateness_ms(self, clock_ms: int, now_ms: int) -> int:
        """Return how long ago the clock read this value at least; 0 if it may read it now."""
        return max(0, math.ceil(self.least.least_at(now_ms) - clock_ms))

    def is_ahead(self, clock_ms: int, now_ms: int) -> bool:
        """Return whether the clock can't have got this far."""
        return not self._allows(clock_ms, now_ms)

    def excludes(self, clock_ms: int, sent_ms: int) -> bool:
        """Return whether the answer to an order sent at `sent_ms` is of another incarnation.

        A clock never goes back; that of a new incarnation starts anew.
        """
        return clock_ms < math.floor(self.least.least_at(sent_ms))

    def identifies(self, clock_ms: int, sent_ms: int, now_ms: int) -> bool:
        """Return whether such an answer, arriving now, can only be of the same incarnation.

        The clock of one that has started since then reads at most the time since it was there.
        """
        newest_other_ms = now_ms - self.alive_ms + CLOCK_PROOF_MARGIN_MS
        return not self.excludes(clock_ms, sent_ms) and clock_ms > newest_other_ms

    def _allows(self, clock_ms: int, now_ms: int) -> bool:
        return all(
            clock_ms <= bound.clock_ms + max_local_ms(now_ms - bound.at_ms)
            for bound in (self.most, self.newest)
        )

    def _later_least(self, clock_ms: int, now_ms: int) -> ClockReading:
        is_later = clock_ms >= self.least.least_at(now_ms)
        return ClockReading(clock_ms, now_ms) if is_later else self.least


def max_local_ms(worker_ms: int) -> int:
    """Return the local time, margin included, within which a worker's clock passes `worker_ms`."""
    return math.ceil(worker_ms / (1 - MAX_CLOCK_DRIFT)) + EXPIRY_MARGIN_MS
