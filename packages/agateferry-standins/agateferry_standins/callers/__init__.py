"""Stand-in callers that retry as the API requires and check every answer."""

from agateferry_standins.callers.caller import Caller
from agateferry_standins.callers.load import Load, run_load
from agateferry_standins.callers.messages import JobKind, RequestRecord
from agateferry_standins.callers.tally import Tally

__all__ = ["Caller", "JobKind", "Load", "RequestRecord", "Tally", "run_load"]
