"""The score of a simulated day: the worth that its jobs earned, by kind, by size and by time."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import mean

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.planning.timing import LATE_FACTOR
from agateferry_jobs.simulation.day_simulation import DayResult, JobOutcome
from agateferry_jobs.simulation.loads import JobKind, SimulatedJob

LARGEST_SHARE = 0.1
"""The share of the jobs of a kind, its largest ones, that also counts as a kind of its own."""
WINDOW_S = 6
"""The duration of the windows of arrival, of which the worst ones count separately."""
WORST_WINDOWS = 2
WEIGHT_DAY = 0.5
WEIGHT_WINDOWS = 0.25
WEIGHT_KIND = 0.25
"""The weights of the parts of the score; close to those that the deployments' pages state."""


@dataclass(frozen=True, slots=True)
class Summary:
    """The earned share of all worth: of the day, the worst kind and the worst windows."""

    day_share: float
    worst_kind: float
    worst_windows: float
    by_kind: dict[str, float]
    wasted_gpu_s: float
    stops: int
    cross_rack_starts: int

    @property
    def score(self) -> float:
        """Return the weighted sum of the parts."""
        return (
            WEIGHT_DAY * self.day_share
            + WEIGHT_WINDOWS * self.worst_windows
            + WEIGHT_KIND * self.worst_kind
        )


def summarize(day: DayResult) -> Summary:
    """Return the summary of a day."""
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
        day.cross_rack_starts,
    )


def _by_kind(outcomes: Iterable[JobOutcome]) -> dict[str, list[JobOutcome]]:
    kinds: dict[str, list[JobOutcome]] = {}
    for outcome in outcomes:
        kinds.setdefault(outcome.job.kind.name, []).append(outcome)
    for name, members in list(kinds.items()):
        members.sort(key=lambda outcome: gpu_seconds(outcome.job))
        largest = max(1, round(LARGEST_SHARE * len(members)))
        kinds[f"{name}, largest"] = members[-largest:]
    return kinds


def _by_window(outcomes: Iterable[JobOutcome]) -> list[list[JobOutcome]]:
    windows: dict[int, list[JobOutcome]] = {}
    for outcome in outcomes:
        windows.setdefault(outcome.job.arrival_ms // (WINDOW_S * MS_PER_S), []).append(outcome)
    return list(windows.values())


def _share(outcomes: Sequence[JobOutcome]) -> float:
    """Return earned worth over total worth; a larger job counts more, up to four times."""
    total = earned = 0.0
    for outcome in outcomes:
        weight = outcome.job.kind.worth * _size_weight(outcome.job)
        total += weight
        earned += weight * _earned_share(outcome)
    return earned / total if total else 1.0


def _earned_share(outcome: JobOutcome) -> float:
    """Return the share of its worth that a job earned: all in time, less if late, or none."""
    job, kind = outcome.job, outcome.job.kind
    if outcome.ended_ms is None:
        return 0.0
    duration_ms = outcome.ended_ms - job.arrival_ms
    objective_ms = kind.stretch * max(job.work_ms) + kind.target_ms
    if duration_ms <= objective_ms:
        return 1.0
    return kind.late_worth / kind.worth if duration_ms <= LATE_FACTOR * objective_ms else 0.0


def gpu_seconds(job: SimulatedJob) -> float:
    """Return a job's work in accelerator-seconds."""
    return sum(job.work_ms) * job.spec.steps[0].need.gpu / MS_PER_S


def _size_weight(job: SimulatedJob) -> float:
    return min(4.0, 0.3 + 0.7 * gpu_seconds(job) / _mean_gpu_seconds(job.kind))


def _mean_gpu_seconds(kind: JobKind) -> float:
    return kind.width * kind.work_ms * mean(kind.gpus) / MS_PER_S
