"""The log events of dealings with workers."""

from agateferry_core.logs import Event

WORKER_SILENT = Event(
    7101, "worker does not answer", "See whether the worker runs and can be reached from here."
)
WORKER_ANSWERS = Event(7102, "worker answers again", "Nothing to do.")
START_REJECTED = Event(7110, "start rejected by the worker", "Look at the reason.")
START_UNCERTAIN = Event(
    7111, "start without a clear answer", "Nothing to do; it is asked again or settled by a look."
)
STOP_UNCERTAIN = Event(7112, "stop without a clear answer", "Nothing to do; it is ordered again.")
