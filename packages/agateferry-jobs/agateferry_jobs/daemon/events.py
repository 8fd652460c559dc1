"""The log events of the roles."""

from agateferry_core.logs import Event

STARTING = Event(7401, "starting", "Nothing to do.")
READY = Event(7402, "started", "Nothing to do.")
STOPPING = Event(7403, "stopping as asked", "Nothing to do.")
STOPPED = Event(7404, "stopped", "Nothing to do.")
RELOADED = Event(7405, "settings read again", "Nothing to do.")
SETTINGS_UNREADABLE = Event(
    7406, "settings cannot be read", "Correct the named key; the settings before stay in force."
)
REVIVING = Event(
    7407, "taking part again after the disk refused", "See that the disk has room and is sound."
)
LEADER_LOST = Event(7410, "no answer from a leader", "See whether the cell has a leader.")
LEADER_FOUND = Event(7411, "a leader answers", "Nothing to do.")
CALL_ANSWERED = Event(7412, "call answered", "Look for the id in the leader's log.")
TASK_FAILED = Event(7420, "task failed", "Report the traceback.")
