"""The log events of the stand-ins."""

from agateferry_core.logs import Event

HEARTBEAT_FAILED = Event(
    6001,
    "heartbeat of a stand-in worker failed",
    "Nothing to do if an entry host was down; the worker tries the next one.",
)
