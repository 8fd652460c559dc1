"""`agateferry trace`: show the log lines of all processes about one job."""

from pathlib import Path
from typing import Any

from agateferry_cli.client import ExitCode, Failure
from agateferry_cli.output import Output
from agateferry_cli.verbs.logs import read_logs

COLUMNS = ("after ms", "source", "number", "event", "with")
OMITTED_FIELDS = ("timestamp", "number", "event", "level", "advice", "job", "id")


def trace(job_id: str, *files: Path, json: bool = False) -> int:
    """Show all log lines about one job, ordered by time, from the logs of several processes.

    :param job_id: id that the caller gave the job
    :param files: logs of the entry processes and of the cell's hosts, each a file of JSON lines
    :param json: print the lines as JSON
    """
    output = Output(json)
    # Imported here because it would slow the start of every other verb.
    from agateferry_jobs.history.lines import lines_about_job

    found = read_logs(files)
    if found.is_error():
        return output.failure(found.error)
    lines = list(lines_about_job(found.ok, job_id))
    if not lines:
        advice = (
            "Name the logs of the entry processes, and of the leader at the time of the submission."
        )
        return output.failure(Failure(ExitCode.USAGE, f"no line is about {job_id}", advice))
    if json:
        output.json([{"source": line.source, **line.fields} for line in lines])
        return ExitCode.OK
    first_ms = lines[0].at_ms
    rows = [
        (
            line.at_ms - first_ms,
            line.source,
            line.number,
            line.fields["event"],
            _format_other_fields(line.fields),
        )
        for line in lines
    ]
    output.table(COLUMNS, rows, "")
    return ExitCode.OK


def _format_other_fields(fields: dict[str, Any]) -> str:
    return " ".join(
        f"{name}={value}" for name, value in fields.items() if name not in OMITTED_FIELDS
    )
