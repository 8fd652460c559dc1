"""Why a job that was considered in a plan still waits."""

from enum import StrEnum


class WaitReason(StrEnum):
    """Why subtasks that may start were passed over."""

    NO_ROOM = "no-room"
    """The subtasks fit nowhere now, and the job gets no resources that become free."""
    LATE = "late"
    """The same, for a job that is too late to reserve resources or to preempt."""
    RESERVED = "reserved"
    """Resources that become free are reserved for it."""
    PREEMPTING = "preempting"
    """Runs of lower rank are being stopped for it."""
    NOTHING_TO_STOP = "nothing-to-stop"
    """It may preempt, but the runs of lower rank do not free enough resources."""
    TOO_COSTLY = "too-costly"
    """Preempting would cost other callers more than the job gains."""
    TRIAL = "trial"
    """It is suspected of crashing workers and waits for one of its own."""
    HELD = "held"
    """Its start was refused just now, or an earlier run of it ended as done but not surely yet."""
    REPORT = "report"
    """A worker on which a subtask fits has yet to report its capacity."""
