"""Why an operator's change of members is refused, and what to do about it."""

from dataclasses import dataclass

from agateferry_service.cell.refusals import RefusalReason
from agateferry_state.replica import ProposeError, ProposeErrorKind
from agateferry_state.replication.messages import RejectReason

REASONS = {
    ProposeErrorKind.UNKNOWN: RefusalReason.OUTCOME_UNKNOWN,
    ProposeErrorKind.STOPPED: RefusalReason.STOPPING,
    ProposeErrorKind.STORAGE_FAILED: RefusalReason.STORAGE_FAILED,
}

DETAILS: dict[str, str] = {
    RejectReason.NOT_READY: "{host} has not made itself known to the leader; start it with an "
    "empty folder and the settings of the others",
    RejectReason.BUSY: "another change of members is not committed yet; try again in a moment",
    RejectReason.NOT_NEEDED: "the members are already so",
    RejectReason.UNSAFE: "{host} cannot be taken out or let in without the risk of losing what was "
    "accepted: see which hosts run, and bring others back first",
    RefusalReason.OUTCOME_UNKNOWN: "no quorum has answered; look at the members, then repeat",
    RefusalReason.STOPPING: "this host is stopping",
    RefusalReason.STORAGE_FAILED: "the disk of this host failed",
}


@dataclass(frozen=True, slots=True)
class MembershipRefusal:
    """The status, the reason and the detail of a problem."""

    status: int
    reason: str
    detail: str


def membership_refusal(error: ProposeError, host: str, leader_address: str) -> MembershipRefusal:
    """Return the problem that a replica's refusal of a change for `host` stands for.

    For example a follower's refusal becomes 503 `not-leader`, with whom to ask.
    """
    if error.kind in REASONS:
        reason: str = REASONS[error.kind]
        return MembershipRefusal(503, reason, error.detail or DETAILS[reason])
    if error.detail in DETAILS:
        return MembershipRefusal(409, error.detail, DETAILS[error.detail].format(host=host))
    if error.leader is None:
        return MembershipRefusal(503, RefusalReason.NO_LEADER, "no leader is known here")
    where = f" at {leader_address}" if leader_address else ""
    return MembershipRefusal(
        503, RefusalReason.NOT_LEADER, f"ask {error.leader}{where}, which leads"
    )
