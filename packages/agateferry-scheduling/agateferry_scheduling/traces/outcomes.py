"""The expected outcomes of a trace's replay, and the comparison of a replay with them.

The outcomes of `storm.jsonl` are in `storm.toml` in the same folder. A bound that is left out there
has the default of `Outcomes`, or is not checked where the default is None.
"""

import tomllib
from dataclasses import dataclass
from importlib import resources
from pathlib import Path

from pydantic import TypeAdapter

from agateferry_scheduling.traces.report import Report


@dataclass(frozen=True)
class Outcomes:
    """The bounds that a replay of a trace must meet.

    Times are in milliseconds. A share is relative to the baseline scheduler's value on that trace.
    `rejected` counts rejections by reason; `quarantined` names workers in alphabetical order.
    """

    about: str
    small_urgent_p99_share: float | None = None
    fragmentation_share: float | None = None
    reclaims_late: int = 0
    urgent_late_possible: int = 0
    large_wait_ms: int = 4 * 3_600_000
    lost_pct: float = 2.0
    unfinished: int = 0
    rejected: dict[str, int] | None = None
    quarantined: tuple[str, ...] | None = None


@dataclass(frozen=True, slots=True)
class Comparison:
    """One measure of a replay and of the baseline's, with its target; lower is better."""

    metric: str
    ours: float
    baseline: float
    target: float
    unit: str

    def is_met(self) -> bool:
        """Return whether the target is met."""
        return self.ours <= self.target


_ADAPTER: TypeAdapter[Outcomes] = TypeAdapter(Outcomes)


def samples() -> list[Path]:
    """Return the paths of the traces that come with the package, ordered by name."""
    folder = Path(str(resources.files("agateferry_scheduling.traces") / "samples"))
    return sorted(folder.glob("*.jsonl"))


def read_outcomes(trace: Path) -> Outcomes:
    """Return the expected outcomes of a trace; raise OSError where it has none.

    For example `read_outcomes(Path("storm.jsonl"))` reads storm.toml.
    """
    with trace.with_suffix(".toml").open("rb") as file:
        return _ADAPTER.validate_python(tomllib.load(file))


def compare(outcomes: Outcomes, ours: Report, baseline: Report) -> list[Comparison]:
    """Return each bound of the outcomes with the measures of both replays."""
    rows = [
        Comparison("reclaims-late", ours.reclaims_late, baseline.reclaims_late, 0, "count"),
        Comparison(
            "urgent-late",
            ours.urgent_late_possible,
            baseline.urgent_late_possible,
            outcomes.urgent_late_possible,
            "count",
        ),
        Comparison(
            "large-wait",
            ours.large_longest_wait_ms,
            baseline.large_longest_wait_ms,
            outcomes.large_wait_ms,
            "ms",
        ),
        Comparison("work-lost", ours.lost_pct, baseline.lost_pct, outcomes.lost_pct, "%"),
        Comparison(
            "unfinished", ours.unfinished, baseline.unfinished, outcomes.unfinished, "count"
        ),
    ]
    if outcomes.small_urgent_p99_share is not None:
        baseline_ms = baseline.small_urgent.p99_ms
        target = outcomes.small_urgent_p99_share * baseline_ms
        rows.append(
            Comparison("small-urgent-p99", ours.small_urgent.p99_ms, baseline_ms, target, "ms")
        )
    if outcomes.fragmentation_share is not None:
        baseline_pct = baseline.fragmentation_pct
        target = outcomes.fragmentation_share * baseline_pct
        rows.append(Comparison("fragmentation", ours.fragmentation_pct, baseline_pct, target, "%"))
    return rows


def find_deviations(outcomes: Outcomes, ours: Report) -> list[str]:
    """Return how a replay deviates from the outcomes in what `compare` does not measure.

    These are a broken invariant, other rejections and other quarantined workers.
    """
    deviations = []
    if ours.broken is not None:
        deviations.append(ours.broken)
    if outcomes.rejected is not None and ours.rejected != outcomes.rejected:
        deviations.append(f"rejected {ours.rejected}, stated {outcomes.rejected}")
    if outcomes.quarantined is not None and ours.quarantined != outcomes.quarantined:
        deviations.append(f"quarantined {ours.quarantined}, stated {outcomes.quarantined}")
    return deviations
