"""`agateferry analyze`: show why jobs were late, and the accelerator time of lost runs."""

from collections import Counter
from pathlib import Path

from agateferry_cli.client import ExitCode
from agateferry_cli.output import Output
from agateferry_cli.verbs.logs import read_logs

LATE_COLUMNS = ("queue", "seconds of late jobs", "went into")
LOST_COLUMNS = ("queue", "accelerator-seconds", "of runs that were")


def analyze(*files: Path, json: bool = False) -> int:
    """Show what the time of late jobs went into, and the accelerator time of runs that were lost.

    A job is late when it missed its objective, which follows from the declared durations of its
    steps. The time of a job is that of the subtask that ended last.

    :param files: logs of the hosts of the cell, each a file of JSON lines
    :param json: print the tables as JSON
    """
    output = Output(json)
    # Imported here because it would slow the start of every other verb.
    from agateferry_jobs.history import collect_jobs
    from agateferry_jobs.history.causes import late_seconds, lost_accelerator_seconds

    found = read_logs(files)
    if found.is_error():
        return output.failure(found.error)
    jobs = collect_jobs(found.ok).values()
    late = late_seconds(jobs, until_ms=found.ok[-1].at_ms)
    lost = lost_accelerator_seconds(jobs)
    if json:
        output.json({"jobs": len(jobs), "late": _records(late), "thrown_away": _records(lost)})
        return ExitCode.OK
    output.table(LATE_COLUMNS, _rows(late), "No job was late.")
    output.table(LOST_COLUMNS, _rows(lost), "No run was lost.")
    return ExitCode.OK


def _rows(seconds: Counter[tuple[str, str]]) -> list[tuple[str, int, str]]:
    return [(queue, count, cause) for (queue, cause), count in seconds.most_common() if count]


def _records(seconds: Counter[tuple[str, str]]) -> list[dict[str, str | int]]:
    return [
        {"queue": queue, "seconds": count, "cause": cause} for queue, count, cause in _rows(seconds)
    ]
