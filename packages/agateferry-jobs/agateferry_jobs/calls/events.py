"""The log events of calls to the leader."""

from agateferry_core.logs import Event

ASK_FAILED = Event(7201, "call to the leader failed", "Nothing to do unless it goes on.")
ANSWER_UNREADABLE = Event(
    7202, "answer of another host not understood", "Run the same release on all hosts."
)
