"""The log events of the ledger."""

from agateferry_core.logs import Event

COMMAND_FAILED = Event(
    7501,
    "unexpected error in applying a command",
    "Report it as a bug; the command was skipped on every host, and the cell goes on.",
)
FORMER_KEYS_DROPPED = Event(
    7502,
    "former keys of teams dropped, since there are too many",
    "Change fewer keys at a time: calls with these keys no longer reach their earlier teams' jobs.",
)
