"""The measures of a replay. docs/design/measures.md defines each of them."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from agateferry_core.demand import Urgency


@dataclass(frozen=True, slots=True)
class Percentiles:
    """The number of some times, and their median, 95th and 99th percentile in milliseconds."""

    count: int
    median_ms: int
    p95_ms: int
    p99_ms: int


def percentiles_of(values: Sequence[int]) -> Percentiles:
    """Return the percentiles of the values by the nearest-rank method; all 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return Percentiles(0, 0, 0, 0)
    values_at = [
        ordered[max(math.ceil(share * len(ordered)) - 1, 0)] for share in (0.5, 0.95, 0.99)
    ]
    return Percentiles(len(ordered), *values_at)


@dataclass(slots=True)
class Sample:
    """The zone at one time: its accelerators, those in use, free racks and waiting requests."""

    at_ms: int
    accelerators: int
    accelerators_used: int
    free_racks: int
    waiting: dict[Urgency, int]


@dataclass(slots=True)
class Report:
    """The measures of one replay of a trace under one policy.

    Its fields are the keys of `agateferry replay --json`. `broken` is the invariant that a decision
    violated, or None.
    """

    trace: str
    policy: str
    completion: dict[Urgency, Percentiles] = field(default_factory=dict)
    small_urgent: Percentiles = field(default_factory=lambda: Percentiles(0, 0, 0, 0))
    small_urgent_run: Percentiles = field(default_factory=lambda: Percentiles(0, 0, 0, 0))
    mean_slowdown: float = 0.0
    fragmentation_pct: float = 0.0
    utilization_pct: float = 0.0
    reclaims: int = 0
    reclaim_longest_ms: int = 0
    reclaims_late: int = 0
    large_longest_wait_ms: int = 0
    urgent_starts: int = 0
    urgent_late: int = 0
    urgent_late_possible: int = 0
    lost_pct: float = 0.0
    submitted: int = 0
    finished: int = 0
    cancelled: int = 0
    rejected: dict[str, int] = field(default_factory=dict)
    unfinished: int = 0
    preemptions: int = 0
    quarantined: tuple[str, ...] = ()
    at_risk: tuple[str, ...] = ()
    broken: str | None = None
    steps: int = 0
    step_p99_us: int = 0
    samples: list[Sample] = field(default_factory=list)

    def score(self, completion_weight: float, fragmentation_weight: float) -> float:
        """Return the cost by these weights; lower is better.

        It is the weighted sum of the mean slowdown's logarithm to base 10 and of the fragmentation
        as a fraction of 1.
        """
        log_slowdown = math.log10(max(self.mean_slowdown, 1.0))
        return (
            completion_weight * log_slowdown + fragmentation_weight * self.fragmentation_pct / 100.0
        )

    def rows(self) -> list[tuple[str, str]]:
        """Return the report as names and values with their units, for a table."""
        rows = [
            (f"completion {urgency} p50/p95/p99", _format_percentiles(percentiles))
            for urgency, percentiles in self.completion.items()
        ]
        rows += [
            ("mean slowdown", f"{self.mean_slowdown:.2f}"),
            ("fragmentation", f"{self.fragmentation_pct:.2f} %"),
            ("utilization", f"{self.utilization_pct:.1f} %"),
            ("longest reclaim", f"{self.reclaim_longest_ms} ms of {self.reclaims}"),
            ("reclaims beyond the bound", str(self.reclaims_late)),
            ("longest wait of a large job", f"{self.large_longest_wait_ms} ms"),
            ("urgent starts late", f"{self.urgent_late} of {self.urgent_starts}"),
            ("urgent starts late though possible", str(self.urgent_late_possible)),
            ("work lost to preemption", f"{self.lost_pct:.2f} %"),
            ("finished", f"{self.finished} of {self.submitted}, {self.cancelled} cancelled"),
            ("rejected", ", ".join(f"{k} {v}" for k, v in sorted(self.rejected.items())) or "0"),
            ("unfinished", str(self.unfinished)),
            ("broken invariant", self.broken or "none"),
        ]
        return rows

    def table(self) -> str:
        """Return the report as plain text."""
        rows = self.rows()
        width = max(len(name) for name, _ in rows)
        lines = [f"{self.trace} under {self.policy}"]
        lines += [f"  {name:<{width}}  {value}" for name, value in rows]
        return "\n".join(lines)


def _format_percentiles(percentiles: Percentiles) -> str:
    times_ms = (percentiles.median_ms, percentiles.p95_ms, percentiles.p99_ms)
    return " / ".join(f"{ms / 1000:.1f}" for ms in times_ms) + f" s of {percentiles.count}"
