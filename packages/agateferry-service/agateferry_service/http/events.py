"""The log events of the HTTP ports."""

from agateferry_core.logs import Event

CLIENTS_REJECTED = Event(
    4160,
    "clients rejected before their requests were handled",
    "See the reasons in docs/OPERATIONS.md, and which clients send so much or so slowly.",
)
