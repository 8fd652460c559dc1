"""The log events of the ledger."""

from agateferry_core.logs import Event

COMMAND_FAILED = Event(
    7501,
    "unexpected error in applying a command",
    "Report it as a bug; the command was skipped on every host, and the cell goes on.",
)
