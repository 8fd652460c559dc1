"""`agateferry analyze`: show where the time of late jobs went, and whose runs were thrown away."""

from collections import Counter
from pathlib import Path

from agateferry_cli.client import ExitCode
from agateferry_cli.output import Output
from agateferry_cli.verbs.logs import read_logs

LATE_COLUMNS = ("queue", "seconds of late jobs", "went into")
WASTE_COLUMNS = ("queue", "accelerator-seconds", "of runs that were")


def analyze(*files: Path, json: bool = False) -> int:
    """Show what jobs beyond their objective waited for, and which runs were thrown away.

    Objectives count by the declared lengths of jobs. The time of a job is that of its last subtask.

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
    wasted = lost_accelerator_seconds(jobs)
    if json:
        output.json({"jobs": len(jobs), "late": _records(late), "thrown_away": _records(wasted)})
        return ExitCode.OK
    output.table(LATE_COLUMNS, _rows(late), "No job was late.")
    output.table(WASTE_COLUMNS, _rows(wasted), "No run was thrown away.")
    return ExitCode.OK


def _rows(seconds: Counter[tuple[str, str]]) -> list[tuple[str, int, str]]:
    return [(queue, count, cause) for (queue, cause), count in seconds.most_common() if count]


def _records(seconds: Counter[tuple[str, str]]) -> list[dict[str, str | int]]:
    return [
        {"queue": queue, "seconds": count, "cause": cause} for queue, count, cause in _rows(seconds)
    ]
