"""The log events of the daemon."""

from agateferry_core.logs import Event

STARTING = Event(4001, "starting", "Normal; 4002 follows, or 4007 if the start fails.")
READY = Event(
    4002,
    "ready for callers",
    "Normal; if it does not follow 4001, see whether most hosts of the zone run.",
)
STOPPING = Event(
    4003,
    "graceful shutdown started",
    "Normal after a stop signal; requests in flight have timeouts.drain_ms to finish.",
)
STOPPED = Event(4004, "stopped", "Normal; the graceful shutdown of 4003 is complete.")
OLD_SETTING = Event(4005, "settings file uses an old key", "Rename the key as the detail says.")
PORT_TAKEN = Event(
    4006, "port cannot be bound", "Stop the process that uses the port, or change the setting."
)
START_FAILED = Event(
    4007, "daemon failed to start", "Fix the cause in the detail, then start the daemon again."
)
REPLICA_FAILED = Event(
    4009,
    "replica of this host failed; the host is not ready",
    "Fix the disk, then restart this host; for a lost disk, see docs/operators.md.",
)
TASK_FAILED = Event(
    4008, "internal task failed", "Report this as a bug, with the log lines before it."
)
