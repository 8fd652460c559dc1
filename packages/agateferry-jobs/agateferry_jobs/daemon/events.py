"""The log events of the two roles, entry and cell."""

from agateferry_core.logs import Event

STARTING = Event(
    7401, "starting", "Nothing to do unless 7402 does not follow; then read the lines after this."
)
READY = Event(7402, "started", "Nothing to do unless the process starts again and again.")
STOPPING = Event(
    7403,
    "stopping on a signal",
    "Nothing to do if the stop was planned; else find what sent SIGTERM or SIGINT.",
)
STOPPED = Event(7404, "stopped", "Nothing to do if the stop was planned.")
RELOADED = Event(
    7405,
    "settings reloaded",
    "Restart the process if anything but the seeds and the machine's limits changed; only these"
    " apply without a restart.",
)
SETTINGS_UNREADABLE = Event(
    7406,
    "settings cannot be read",
    "Correct the named key; the previous settings stay in force until then.",
)
REPLICA_RESTARTING = Event(
    7407,
    "replica restarts after a failure",
    "Check that the disk has free space and works; report any other detail as a bug.",
)
LEADER_LOST = Event(
    7410,
    "no answer from a leader",
    "Check that the cell has a leader and that this host can reach it.",
)
LEADER_FOUND = Event(7411, "leader answers", "Nothing to do unless it follows 7410 often.")
CALL_ANSWERED = Event(
    7412, "call answered", "Search the leader's log for the id if the status is unexpected."
)
TASK_FAILED = Event(7420, "background task failed", "Report the detail as a bug.")
