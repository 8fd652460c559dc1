"""The score of a simulated day: the worth that its jobs earned, by kind, by size and by time."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from statistics import mean

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.planning.timing import LATE_FACTOR
from agateferry_jobs.simulation.day_simulation import DayResult, JobOutcome
from agateferry_jobs.simulation.drawing import SimulatedJob
from agateferry_jobs.simulation.loads import DEFAULT_GOAL, Goal, JobKind
from agateferry_jobs.size_weight import size_weight

LARGEST_SHARE = 0.1
"""The share of the jobs of a kind, its largest ones, that also counts as a kind of its own."""
WORST_WINDOWS = 2
"""How many windows of arrival count separately, the worst ones."""


@dataclass(frozen=True, slots=True)
class Summary:
    """The earned share of all worth: of the day, and of the worst parts of it.

    `waste_price` is the price of lost work as a share of all worth.
    """

    goal: Goal
    day_share: float
    worst_kind: float
    worst_windows: float
    worst_zone: float
    worst_team: float
    waste_price: float
    by_kind: dict[str, float]
    in_time: dict[str, float]
    """By kind, the share of the jobs that ended within their objective."""
    wasted_gpu_s: float
    stops: int
    cross_rack_starts: int
    wasted_core_s: float
    stranded_gpus: float

    @property
    def score(self) -> float:
        """Return the weighted sum of the parts, less the price of lost work."""
        goal = self.goal
        return (
            goal.day * self.day_share
            + goal.windows * self.worst_windows
            + goal.kind * self.worst_kind
            + goal.zone * self.worst_zone
            + goal.team * self.worst_team
            - self.waste_price
        )


def summarize(day: DayResult, goal: Goal = DEFAULT_GOAL) -> Summary:
    """Return the summary of a day for the goal of its load."""
    shares = {name: _share(outcomes) for name, outcomes in _by_kind(day.outcomes).items()}
    windows = sorted(_shares_by(day.outcomes, lambda job: _window(job, goal)))
    worth = sum(_worth(outcome.job) for outcome in day.outcomes)
    return Summary(
        goal,
        _share(day.outcomes),
        min(shares.values(), default=1.0),
        mean(windows[:WORST_WINDOWS] or [1.0]),
        min(_shares_by(day.outcomes, lambda job: job.zone), default=1.0),
        min(_shares_by(day.outcomes, lambda job: job.team), default=1.0),
        goal.waste_price * day.wasted_core_s / worth if worth else 0.0,
        shares,
        _in_time_shares(day.outcomes),
        day.wasted_gpu_s,
        day.stops,
        day.cross_rack_starts,
        day.wasted_core_s,
        day.stranded_gpus,
    )


def _in_time_shares(outcomes: Iterable[JobOutcome]) -> dict[str, float]:
    """Return the share of the jobs of each kind that ended within their objective."""
    by_kind: dict[str, list[bool]] = {}
    for outcome in outcomes:
        by_kind.setdefault(outcome.job.kind.name, []).append(_earned_share(outcome) == 1.0)
    return {name: mean(each) for name, each in by_kind.items()}


def _by_kind(outcomes: Iterable[JobOutcome]) -> dict[str, list[JobOutcome]]:
    kinds: dict[str, list[JobOutcome]] = {}
    for outcome in outcomes:
        kinds.setdefault(outcome.job.kind.name, []).append(outcome)
    for name, members in list(kinds.items()):
        members.sort(key=lambda outcome: gpu_seconds(outcome.job))
        largest = max(1, round(LARGEST_SHARE * len(members)))
        kinds[f"{name}, largest"] = members[-largest:]
    return kinds


def _window(job: SimulatedJob, goal: Goal) -> int:
    return job.arrival_ms // (goal.window_s * MS_PER_S)


def _shares_by(
    outcomes: Iterable[JobOutcome], key: Callable[[SimulatedJob], int | str]
) -> list[float]:
    """Return the earned share of each group of jobs with the same key."""
    groups: dict[int | str, list[JobOutcome]] = {}
    for outcome in outcomes:
        groups.setdefault(key(outcome.job), []).append(outcome)
    return [_share(group) for group in groups.values()]


def _share(outcomes: Sequence[JobOutcome]) -> float:
    """Return earned worth over total worth; a larger job counts more, up to four times."""
    total = earned = 0.0
    for outcome in outcomes:
        worth = _worth(outcome.job)
        total += worth
        earned += worth * _earned_share(outcome)
    return earned / total if total else 1.0


def _worth(job: SimulatedJob) -> float:
    return job.kind.worth * _size_weight(job)


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
    return size_weight(gpu_seconds(job), _mean_gpu_seconds(job.kind))


def _mean_gpu_seconds(kind: JobKind) -> float:
    return kind.width * kind.work_ms * mean(kind.gpus) / MS_PER_S
