"""What a simulated day earned, taken apart by kind, by size and by time."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import mean

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.planning.timing import LATE_FACTOR
from agateferry_jobs.simulation.loads import JobKind, SimulatedJob
from agateferry_jobs.simulation.world import Day, Outcome

LARGEST_SHARE = 0.1
"""The largest jobs of a kind count as a kind of their own."""
WINDOW_S = 6
"""The length of the spans of which the worst count by themselves."""
WORST_WINDOWS = 2
WEIGHT_DAY = 0.5
WEIGHT_WINDOWS = 0.25
WEIGHT_KIND = 0.25
"""How the parts are weighed against each other; near to what the deployments' pages state."""


@dataclass(frozen=True, slots=True)
class Summary:
    """Shares of the worth that was owed: of the day, of the worst kind and of the worst spans."""

    day: float
    worst_kind: float
    worst_windows: float
    by_kind: dict[str, float]
    wasted_gpu_s: float
    stops: int
    far_starts: int

    @property
    def score(self) -> float:
        """Return the parts in one figure."""
        return (
            WEIGHT_DAY * self.day
            + WEIGHT_WINDOWS * self.worst_windows
            + WEIGHT_KIND * self.worst_kind
        )


def summarize(day: Day) -> Summary:
    """Return what a day earned."""
    kinds = _by_kind(day.outcomes)
    windows = sorted(_share(each) for each in _by_window(day.outcomes))
    shares = {name: _share(outcomes) for name, outcomes in kinds.items()}
    return Summary(
        _share(day.outcomes),
        min(shares.values(), default=1.0),
        mean(windows[:WORST_WINDOWS] or [1.0]),
        shares,
        day.wasted_gpu_s,
        day.stops,
        day.far_starts,
    )


def _by_kind(outcomes: Iterable[Outcome]) -> dict[str, list[Outcome]]:
    kinds: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        kinds.setdefault(outcome.job.kind.name, []).append(outcome)
    for name, members in list(kinds.items()):
        members.sort(key=lambda outcome: work(outcome.job))
        largest = max(1, round(LARGEST_SHARE * len(members)))
        kinds[f"{name}, largest"] = members[-largest:]
    return kinds


def _by_window(outcomes: Iterable[Outcome]) -> list[list[Outcome]]:
    windows: dict[int, list[Outcome]] = {}
    for outcome in outcomes:
        windows.setdefault(outcome.job.at_ms // (WINDOW_S * MS_PER_S), []).append(outcome)
    return list(windows.values())


def _share(outcomes: Sequence[Outcome]) -> float:
    """Return earned worth over owed worth; a larger job is worth more, up to four times."""
    owed = earned = 0.0
    for outcome in outcomes:
        weight = outcome.job.kind.worth * _size_weight(outcome.job)
        owed += weight
        earned += weight * _reached(outcome)
    return earned / owed if owed else 1.0


def _reached(outcome: Outcome) -> float:
    """Return the share of its worth that a job earned."""
    job, kind = outcome.job, outcome.job.kind
    if outcome.ended_ms is None:
        return 0.0
    took_ms = outcome.ended_ms - job.at_ms
    objective_ms = kind.stretch * max(job.work_ms) + kind.target_ms
    if took_ms <= objective_ms:
        return 1.0
    return kind.late_worth / kind.worth if took_ms <= LATE_FACTOR * objective_ms else 0.0


def work(job: SimulatedJob) -> float:
    """Return a job's work in accelerator-seconds."""
    return sum(job.work_ms) * job.spec.steps[0].need.gpu / MS_PER_S


def _size_weight(job: SimulatedJob) -> float:
    return min(4.0, 0.3 + 0.7 * work(job) / _mean_work(job.kind))


def _mean_work(kind: JobKind) -> float:
    return kind.width * kind.work_ms * mean(kind.gpus) / MS_PER_S
