"""The log events of orders to workers and of polls."""

from agateferry_core.logs import Event

WORKER_SILENT = Event(
    7101, "worker does not answer", "See whether the worker runs and can be reached from this host."
)
WORKER_ANSWERS = Event(7102, "worker answers again", "Nothing to do unless it follows 7101 often.")
START_REJECTED = Event(
    7110, "start rejected by the worker", "See the reason; the subtask is planned again."
)
START_UNCERTAIN = Event(
    7111,
    "start without a clear answer",
    "Nothing to do; it is sent again, or the next poll shows its outcome.",
)
STOP_UNCERTAIN = Event(
    7112, "stop without a clear answer", "Nothing to do; it is sent again while the run is listed."
)
SESSION_FAILED = Event(
    7113,
    "unexpected error in a worker's session",
    "Report the detail as a bug; the session goes on and learns its runs from the next poll.",
)
