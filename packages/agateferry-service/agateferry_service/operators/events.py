"""The log events of the operators' port."""

from agateferry_core.logs import Event

MEMBERS_CHANGED = Event(4201, "members changed by an operator", "Nothing to do.")
RECOVERY_FORCED = Event(
    4202,
    "a log was taken as the truth by an operator",
    "Bring the hosts that were given up back with an empty folder.",
)
MEMBERSHIP_CHANGE_REFUSED = Event(
    4203, "an operator's change of members was refused", "Do what the detail says."
)
