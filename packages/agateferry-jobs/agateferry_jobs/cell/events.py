"""The log events of the cell's leader."""

from agateferry_core.logs import Event

LEADING = Event(7301, "leading the cell", "Nothing to do.")
NOT_LEADING = Event(7302, "no longer leading the cell", "Nothing to do; another host takes over.")
JOB_ACCEPTED = Event(7310, "job accepted", "Nothing to do.")
JOB_REFUSED = Event(7311, "job refused", "Look at the reason.")
JOB_CANCELLED = Event(7312, "job cancelled", "Nothing to do.")
JOB_ENDED = Event(7313, "job ended", "Nothing to do.")
RUN_STARTED = Event(7320, "run placed", "Nothing to do.")
RUN_ENDED = Event(7321, "run ended", "Look at how and at the worker where it is not done.")
RUN_STOPPING = Event(7322, "run is being stopped", "Look at the reason.")
WORKER_NOTED = Event(7330, "worker joined or changed", "Nothing to do.")
WORKER_GONE = Event(7331, "worker left", "Nothing to do.")
WORKER_SUSPECT = Event(
    7332, "worker suspected", "Look at the worker's own log if its runs fail or stand still."
)
MANIFEST_IN_FORCE = Event(7340, "manifest in force", "Nothing to do.")
PROPOSAL_FAILED = Event(
    7350, "command without an outcome", "Nothing to do when leadership changed; else see the disk."
)
TASK_FAILED = Event(7351, "task failed", "Report the traceback.")
