"""The log events of the operators' port."""

from agateferry_core.logs import Event

MEMBERS_CHANGED = Event(
    4201,
    "operator changed the members of a replicated log",
    "Normal; if nobody asked for the change, see who can reach the operators' port.",
)
RECOVERY_FORCED = Event(
    4202,
    "operator forced recovery from this host's log",
    "Restart each host that was named as lost with an empty data folder.",
)
MEMBERSHIP_CHANGE_REFUSED = Event(
    4203,
    "operator's membership change or recovery refused",
    "See the detail, which names the cause and the next step.",
)
ZONE_EVACUATED = Event(
    4204,
    "operator evacuated a zone",
    "Normal; 4142 in that zone's logs shows that it is in force there.",
)
ZONE_READMITTED = Event(
    4205,
    "operator readmitted a zone",
    "Normal; 4143 in that zone's logs shows that it is in force there.",
)
