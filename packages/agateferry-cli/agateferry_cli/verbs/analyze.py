"""`agateferry analyze`: show which jobs were late and why, and the work of lost runs."""

from collections import Counter
from dataclasses import asdict, astuple
from pathlib import Path
from typing import TYPE_CHECKING

from agateferry_cli.client import ExitCode
from agateferry_cli.output import Output
from agateferry_cli.verbs.logs import read_logs

if TYPE_CHECKING:
    from agateferry_jobs.history.losses import GroupLoss

LATE_COLUMNS = ("queue", "seconds of late jobs", "went into")
LOST_COLUMNS = ("queue", "accelerator-seconds", "of runs that were")
GROUP_COLUMNS = ("jobs of", "jobs", "late", "share lost", "mostly since it")
PREEMPTION_COLUMNS = (
    "runs of",
    "preempted for",
    "runs",
    "jobs",
    "most of a job",
    "accelerator-seconds",
    "to redo",
)
WORST_WINDOWS = 5


def analyze(*files: Path, json: bool = False) -> int:
    """Show which jobs were late and why, and the accelerator time of runs that were lost.

    A job is late when it missed its objective, which follows from the declared durations of its
    steps. The time of a job is that of the subtask that ended last. Groups of jobs are those of a
    queue, a team, a size class of a queue (its largest tenth, the fifth below it, the rest) and the
    worst windows of 2 s of acceptance; the share lost is weighted by the size of the jobs.

    :param files: logs of the hosts of the cell, each a file of JSON lines
    :param json: print the tables as JSON
    """
    output = Output(json)
    # Imported here because it would slow the start of every other verb.
    from agateferry_jobs.history import collect_jobs
    from agateferry_jobs.history.causes import late_seconds, lost_accelerator_seconds
    from agateferry_jobs.history.losses import losses_by, preemptions, size_key, window_key

    found = read_logs(files)
    if found.is_error():
        return output.failure(found.error)
    jobs = list(collect_jobs(found.ok).values())
    until_ms = found.ok[-1].at_ms
    late = late_seconds(jobs, until_ms)
    lost = lost_accelerator_seconds(jobs)
    groups = {
        "queues": losses_by(jobs, lambda job: job.queue, until_ms),
        "teams": losses_by(jobs, lambda job: job.team, until_ms),
        "sizes": losses_by(jobs, size_key(jobs), until_ms),
        "windows": losses_by(jobs, window_key(jobs), until_ms)[:WORST_WINDOWS],
    }
    preempted = preemptions(jobs)
    if json:
        output.json(
            {
                "jobs": len(jobs),
                "late": _records(late),
                "thrown_away": _records(lost),
                "groups": {name: [asdict(loss) for loss in each] for name, each in groups.items()},
                "preempted": [asdict(each) for each in preempted],
            }
        )
        return ExitCode.OK
    output.table(LATE_COLUMNS, _rows(late), "No job was late.")
    output.table(LOST_COLUMNS, _rows(lost), "No run was lost.")
    for losses in groups.values():
        output.table(GROUP_COLUMNS, [_group_row(loss) for loss in losses], "There is no job.")
    output.table(PREEMPTION_COLUMNS, [astuple(each) for each in preempted], "None was preempted.")
    return ExitCode.OK


def _group_row(loss: "GroupLoss") -> tuple[str, int, int, str, str]:
    return (loss.name, loss.jobs, loss.late, f"{loss.lost_share:.3f}", loss.main_cause)


def _rows(seconds: Counter[tuple[str, str]]) -> list[tuple[str, int, str]]:
    return [(queue, count, cause) for (queue, cause), count in seconds.most_common() if count]


def _records(seconds: Counter[tuple[str, str]]) -> list[dict[str, str | int]]:
    return [
        {"queue": queue, "seconds": count, "cause": cause} for queue, count, cause in _rows(seconds)
    ]
