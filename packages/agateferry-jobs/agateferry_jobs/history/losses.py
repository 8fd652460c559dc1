"""Which jobs missed their objective, by group, and whose runs were preempted for whom."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from statistics import mean

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.history.causes import accelerator_seconds, all_runs, main_cause
from agateferry_jobs.history.jobs import JobHistory
from agateferry_jobs.size_weight import size_weight

WINDOW_S = 2
"""The duration of the windows of acceptance."""
LARGEST_SHARE, LARGE_SHARE = 0.1, 0.3
"""The largest tenth of a queue's jobs is one size class, and the fifth below it another."""


@dataclass(frozen=True, slots=True)
class GroupLoss:
    """A group of jobs; `lost_share` is the share of its weight that was late or failed."""

    name: str
    jobs: int
    late: int
    lost_share: float
    main_cause: str
    """The most frequent main cause of its late jobs; empty if none was late."""


@dataclass(frozen=True, slots=True)
class Preemptions:
    """The runs of one queue that were preempted for jobs of another.

    `redone_s` of the `lost_s` accelerator-seconds were stopped without a checkpoint to start from.
    """

    stopped_queue: str
    for_queue: str
    runs: int
    jobs: int
    most_of_one_job: int
    lost_s: int
    redone_s: int


def losses_by(
    jobs: Sequence[JobHistory], key: Callable[[JobHistory], str], until_ms: int
) -> list[GroupLoss]:
    """Return the loss of each group of jobs with the same key, the greatest first.

    Cancelled jobs are left out. `until_ms` is the end of the logs.
    """
    counted = [job for job in jobs if job.state != "cancelled"]
    weights = _size_weights(counted)
    losses = []
    for name, members in _grouped(counted, key).items():
        late = [job for job in members if not job.is_in_time(until_ms)]
        causes = Counter(main_cause(job, until_ms) for job in late)
        total = sum(weights[job.id] for job in members)
        lost_share = sum(weights[job.id] for job in late) / total
        most_frequent = causes.most_common(1)[0][0] if causes else ""
        losses.append(GroupLoss(name, len(members), len(late), lost_share, most_frequent))
    return sorted(losses, key=lambda loss: (-loss.lost_share, loss.name))


def window_key(jobs: Sequence[JobHistory]) -> Callable[[JobHistory], str]:
    """Return the key of windows of acceptance, in seconds since the first job was accepted."""
    first_ms = min((job.accepted_ms for job in jobs), default=0)

    def key(job: JobHistory) -> str:
        start_s = (job.accepted_ms - first_ms) // (WINDOW_S * MS_PER_S) * WINDOW_S
        return f"{start_s} to {start_s + WINDOW_S} s"

    return key


def size_key(jobs: Sequence[JobHistory]) -> Callable[[JobHistory], str]:
    """Return the key of size classes: each queue's largest tenth, the fifth below, the rest."""
    classes: dict[str, str] = {}
    for members in _grouped(jobs, _queue).values():
        members.sort(key=lambda job: -job.declared_core_s)
        for position, job in enumerate(members):
            share = position / len(members)
            name = "largest" if share < LARGEST_SHARE else "large"
            classes[job.id] = name if share < LARGE_SHARE else "other"
    return lambda job: f"{job.queue}, {classes[job.id]}"


def preemptions(jobs: Iterable[JobHistory]) -> list[Preemptions]:
    """Return whose runs were preempted for whom, the greatest loss first."""
    by_id = {job.id: job for job in jobs}
    rows: dict[tuple[str, str], list[tuple[str, float, bool]]] = {}
    for job, subtask, run in all_runs(by_id.values()):
        if not run.stopped_for or not run.is_lost:
            continue
        preempting = by_id.get(run.stopped_for)
        pair = (job.queue, preempting.queue if preempting is not None else "")
        lost_s = accelerator_seconds(job, subtask, run)
        rows.setdefault(pair, []).append((job.id, lost_s, run.has_checkpoint))
    found = [_preemptions(pair, runs) for pair, runs in rows.items()]
    return sorted(found, key=lambda each: -each.lost_s)


def _preemptions(pair: tuple[str, str], runs: list[tuple[str, float, bool]]) -> Preemptions:
    per_job = Counter(id for id, _, _ in runs)
    return Preemptions(
        *pair,
        runs=len(runs),
        jobs=len(per_job),
        most_of_one_job=max(per_job.values()),
        lost_s=round(sum(lost_s for _, lost_s, _ in runs)),
        redone_s=round(sum(lost_s for _, lost_s, is_saved in runs if not is_saved)),
    )


def _grouped(
    jobs: Iterable[JobHistory], key: Callable[[JobHistory], str]
) -> dict[str, list[JobHistory]]:
    groups: dict[str, list[JobHistory]] = {}
    for job in jobs:
        groups.setdefault(key(job), []).append(job)
    return groups


def _queue(job: JobHistory) -> str:
    return job.queue


def _size_weights(jobs: Iterable[JobHistory]) -> dict[str, float]:
    weights: dict[str, float] = {}
    for members in _grouped(jobs, _queue).values():
        mean_core_s = mean(job.declared_core_s for job in members) or 1.0
        for job in members:
            weights[job.id] = size_weight(job.declared_core_s, mean_core_s)
    return weights
