"""Read the log files that a verb names."""

from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from agateferry_cli.client import ExitCode, Failure

if TYPE_CHECKING:
    from agateferry_jobs.history import LogLine


def read_logs(files: Sequence[Path]) -> Result[list["LogLine"], Failure]:
    """Return the lines of all the logs together, ordered by time."""
    # Imported here because it would slow the start of every other verb.
    from agateferry_jobs.history import read_lines

    if not files:
        return Error(Failure(ExitCode.USAGE, "no log is named", "Name one or more files."))
    texts: list[str] = []
    for file in files:
        if not file.is_file():
            return Error(Failure(ExitCode.USAGE, f"{file} is not a file", "Name a log."))
        texts += file.read_text(encoding="utf-8", errors="replace").splitlines()
    lines = read_lines(texts)
    if not lines:
        advice = "Name files with what the processes of agateferry wrote to standard output."
        return Error(Failure(ExitCode.USAGE, "the logs hold no log line", advice))
    return Ok(lines)
