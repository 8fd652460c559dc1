"""Traces of scheduler events, their replay in virtual time and the measures of a replay.

`replay(path, Policy.FAIR)` returns a `Report`. `Report.table()` returns it as text, and
`draw(report, path)` writes it as a picture.
"""

from agateferry_scheduling.traces.drawing import draw
from agateferry_scheduling.traces.outcomes import compare, find_deviations, read_outcomes, samples
from agateferry_scheduling.traces.recorder import Recorder
from agateferry_scheduling.traces.records import TraceError, read_trace, write_trace
from agateferry_scheduling.traces.replay import Policy, replay
from agateferry_scheduling.traces.report import Report

__all__ = [
    "Policy",
    "Recorder",
    "Report",
    "TraceError",
    "compare",
    "draw",
    "find_deviations",
    "read_outcomes",
    "read_trace",
    "replay",
    "samples",
    "write_trace",
]
