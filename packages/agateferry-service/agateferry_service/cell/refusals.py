"""The reasons for which a call is refused, and the replies that carry them."""

from enum import StrEnum

from agateferry_service.rpc import cell_pb2 as pb

RETRY_AFTER_MS = 1_000


class RefusalReason(StrEnum):
    """Say why a call was refused; also the label of the counter of refusals."""

    NOT_LEADER = "not-leader"
    NO_LEADER = "no-leader"
    ZONE_UNREACHABLE = "zone-unreachable"
    OUTCOME_UNKNOWN = "outcome-unknown"
    STOPPING = "stopping"
    STORAGE_FAILED = "storage-failed"
    UNKNOWN_TEAM = "unknown-team"
    UNKNOWN_JOB = "unknown-job"
    UNKNOWN_ZONE = "unknown-zone"
    UNKNOWN_REQUEST = "unknown-request"
    UNKNOWN_RECORD = "unknown-record"
    KEY_REQUIRED = "key-required"
    KEY_REUSED = "key-reused"
    VERSION_CONFLICT = "version-conflict"
    INVALID = "invalid"
    WRONG_ZONE = "wrong-zone"


def refusal(reason: str, detail: str, retry_after_ms: int = 0, leader: str = "") -> pb.Refusal:
    """Make a refusal; `retry_after_ms` of 0 says that asking again is of no use."""
    return pb.Refusal(reason=reason, detail=detail, retry_after_ms=retry_after_ms, leader=leader)


def not_leader(leader: str | None) -> pb.Refusal:
    """Refuse because another host leads, and name it where it is known."""
    detail = f"ask {leader}" if leader else "no leader is known here"
    return refusal(RefusalReason.NOT_LEADER, detail, RETRY_AFTER_MS, leader or "")
