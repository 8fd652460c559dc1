"""Analysis of jobs from the logs of several processes, for `agateferry trace` and `analyze`."""

from agateferry_jobs.history.causes import Cause, split_by_cause
from agateferry_jobs.history.jobs import JobHistory, RunHistory, collect_jobs
from agateferry_jobs.history.lines import LogLine, read_lines

__all__ = [
    "Cause",
    "JobHistory",
    "LogLine",
    "RunHistory",
    "collect_jobs",
    "read_lines",
    "split_by_cause",
]
