"""Why an operator's membership change is refused, and what to do about it."""

from dataclasses import dataclass

from agateferry_service.cell.refusals import RefusalReason
from agateferry_state.replica import ProposeError, ProposeErrorKind
from agateferry_state.replication.messages import RejectReason

REASON_OF_ERROR = {
    ProposeErrorKind.UNKNOWN: RefusalReason.OUTCOME_UNKNOWN,
    ProposeErrorKind.STOPPED: RefusalReason.STOPPING,
    ProposeErrorKind.STORAGE_FAILED: RefusalReason.STORAGE_FAILED,
}

DETAIL_OF_REASON: dict[str, str] = {
    RejectReason.NOT_READY: "{host} has not contacted the leader; start it with an empty "
    "data folder and the same [[peers]] as the other hosts",
    RejectReason.BUSY: "another membership change is not committed yet; retry in a few seconds",
    RejectReason.NOT_NEEDED: "the members already have this state",
    RejectReason.UNSAFE: "changing the membership of {host} could lose committed entries: see "
    "which hosts run, and restart the others first",
    RefusalReason.OUTCOME_UNKNOWN: "no quorum replied; check the members, then retry",
    RefusalReason.STOPPING: "this host is stopping",
    RefusalReason.STORAGE_FAILED: "the disk of this host failed",
}


@dataclass(frozen=True, slots=True)
class MembershipRefusal:
    """The HTTP status, reason and detail of a refused membership change."""

    status: int
    reason: str
    detail: str


def membership_refusal(error: ProposeError, host: str, leader_address: str) -> MembershipRefusal:
    """Return the refusal for an error of a replica when it changes the membership of `host`.

    For example an error of a follower becomes 503 `not-leader`, and the detail names the leader.
    """
    if error.kind in REASON_OF_ERROR:
        reason: str = REASON_OF_ERROR[error.kind]
        return MembershipRefusal(503, reason, error.detail or DETAIL_OF_REASON[reason])
    if error.detail in DETAIL_OF_REASON:
        return MembershipRefusal(
            409, error.detail, DETAIL_OF_REASON[error.detail].format(host=host)
        )
    if error.leader is None:
        return MembershipRefusal(503, RefusalReason.NO_LEADER, "no leader is known here")
    address = f" at {leader_address}" if leader_address else ""
    return MembershipRefusal(
        503, RefusalReason.NOT_LEADER, f"send this to the leader, {error.leader}{address}"
    )
