"""The log events of the stand-ins."""

from agateferry_core.logs import Event

ANNOUNCE_FAILED = Event(
    6001, "announcement failed", "Nothing to do; the worker tries the next entry host."
)
