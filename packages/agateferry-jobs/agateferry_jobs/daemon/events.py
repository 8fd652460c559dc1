"""The log events of the roles."""

from agateferry_core.logs import Event

STARTING = Event(5401, "starting", "Nothing to do.")
READY = Event(5402, "started", "Nothing to do.")
STOPPING = Event(5403, "stopping as asked", "Nothing to do.")
STOPPED = Event(5404, "stopped", "Nothing to do.")
RELOADED = Event(5405, "settings read again", "Nothing to do.")
SETTINGS_UNREADABLE = Event(
    5406, "settings cannot be read", "Correct the named key; the settings before stay in force."
)
LEADER_LOST = Event(5410, "no answer from a leader", "See whether the cell has a leader.")
LEADER_FOUND = Event(5411, "a leader answers", "Nothing to do.")
TASK_FAILED = Event(5420, "task failed", "Report the traceback.")
