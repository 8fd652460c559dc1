"""What the logs of several processes tell of the jobs of a day."""

from agateferry_jobs.history.causes import Cause, split
from agateferry_jobs.history.jobs import JobHistory, RunHistory, collect
from agateferry_jobs.history.lines import Line, read_lines

__all__ = ["Cause", "JobHistory", "Line", "RunHistory", "collect", "read_lines", "split"]
