"""The log events of a cell's leader."""

from agateferry_core.logs import Event

LEADING = Event(
    4101,
    "started to lead the zone",
    "Normal after a leader change; if frequent, see the hosts' disks and network.",
)
NOT_LEADING = Event(
    4102,
    "stopped leading the zone",
    "Normal; another host takes over. If none logs 4101, see whether most hosts of the zone run.",
)
ACCEPTED = Event(
    4110, "request accepted", "Normal; see the queue if 4111 does not follow within its usual wait."
)
PLACED = Event(
    4111, "request placed", "Normal; see 4113 for the same request if its attempt number grows."
)
ENDED = Event(4112, "request ended", "Normal; for state failed, see 4113 for the same request.")
ATTEMPT_FAILED = Event(
    4113, "attempt ended without an answer", "See the detail, and the logs of the named workers."
)
STALE_LEASE = Event(
    4114,
    "lease of an old attempt told to stop",
    "Normal after a worker was silent for a while; if frequent, see the worker's network.",
)
PREEMPTING = Event(
    4115,
    "preempting an attempt",
    "Normal; if frequent, see guarantees and urgent load against the zone's capacity.",
)
WORKER_CHANGED = Event(
    4120,
    "worker changed",
    "Normal when a worker joins, leaves or restarts; if frequent, see its log.",
)
WORKER_LOST = Event(
    4121, "worker lost", "See whether the worker runs and reaches an entry host of its zone."
)
QUARANTINE = Event(
    4122, "worker quarantined or released", "See the worker's own log if it stays quarantined."
)
GUARANTEE_AT_RISK = Event(
    4130,
    "guarantees at risk changed",
    "If teams are named, add workers or lower the guarantees of these teams.",
)
RECORDS_ADOPTED = Event(
    4140,
    "records in force in this zone",
    "Normal after a change of records; compare the revisions if zones behave differently.",
)
RECORDS_UNREACHED = Event(
    4141,
    "records plane unreachable",
    "Requests are served with the last known records; see whether other zones can be reached.",
)
EVACUATED = Event(
    4142,
    "zone evacuated: nothing new starts",
    "Normal after `agateferry evacuate`; see the runs that are left, and the guarantees at risk.",
)
READMITTED = Event(
    4143,
    "zone readmitted: work starts again",
    "Normal after `agateferry readmit`; see 4122 if workers fail at first.",
)
OUTCOME_UNKNOWN = Event(
    4150, "outcome of a command unknown", "Normal when leadership changed; otherwise see the disk."
)
COMMAND_FAILED = Event(
    4190,
    "unexpected error in applying a command",
    "Report it as a bug; the command was skipped on every host, and the zone goes on.",
)
