"""The log events of a cell's leader."""

from agateferry_core.logs import Event

LEADING = Event(4101, "leading the zone", "Nothing to do.")
NOT_LEADING = Event(4102, "no longer leading the zone", "Nothing to do; another host takes over.")
ACCEPTED = Event(4110, "request accepted", "Nothing to do.")
PLACED = Event(4111, "request placed", "Nothing to do.")
ENDED = Event(4112, "request ended", "Nothing to do.")
ATTEMPT_FAILED = Event(
    4113, "attempt ended without an answer", "Look at the detail and at the named workers."
)
LATE_RESULT = Event(
    4114, "result of an attempt that nobody waits for dropped", "Nothing to do unless frequent."
)
PREEMPTING = Event(4115, "taking workers back", "Nothing to do.")
WORKER_CHANGED = Event(4120, "worker changed", "Nothing to do.")
WORKER_LOST = Event(
    4121, "worker lost", "See whether the worker runs and reaches an entry host of its zone."
)
QUARANTINE = Event(
    4122, "worker quarantined or released", "Look at the worker's own log if it fails everything."
)
GUARANTEE_AT_RISK = Event(
    4130, "guarantees cannot all be laid out", "Bring workers back or lower the named guarantees."
)
RECORDS_ADOPTED = Event(4140, "records in force in this zone", "Nothing to do.")
RECORDS_UNREACHED = Event(
    4141, "records plane not reached", "See whether other zones can be reached; work goes on."
)
PROPOSAL_FAILED = Event(
    4150, "a command has no outcome", "Nothing to do when leadership changed; else see the disk."
)
