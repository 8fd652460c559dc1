"""Recorded events, their replay and what is measured of it.

`replay(path, Policy.FAIR)` returns a `Report`, `Report.table()` is a text for people, and
`draw(report, path)` a picture.
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
