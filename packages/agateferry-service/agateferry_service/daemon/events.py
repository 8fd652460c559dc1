"""The log events of the daemon."""

from agateferry_core.logs import Event

STARTING = Event(4001, "starting", "Nothing to do.")
READY = Event(4002, "ready for callers", "Nothing to do.")
STOPPING = Event(4003, "planned stop begun", "Nothing to do; requests in flight are finished.")
STOPPED = Event(4004, "stopped", "Nothing to do.")
OLD_SETTING = Event(4005, "an old name of a setting is used", "Rename it as the warning says.")
PORT_TAKEN = Event(
    4006, "a port cannot be bound", "End the process that holds it, or change the setting."
)
START_FAILED = Event(4007, "the daemon cannot start", "Do what the detail says.")
STATE_FAILED = Event(
    4009,
    "a replica of this host takes no part any more",
    "Mend the disk, then restart this host; docs/operators.md says how a lost disk is replaced.",
)
TASK_FAILED = Event(4008, "an internal task failed", "Report it with the log lines before it.")
