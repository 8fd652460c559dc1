"""The reasons for refusing a call, and constructors of refusals."""

from enum import StrEnum

from agateferry_service.rpc import cell_pb2 as pb

RETRY_AFTER_MS = 1_000
EVACUATED_RETRY_AFTER_MS = 5_000


class RefusalReason(StrEnum):
    """Why a call was refused; the value is also a label of the refusals counter."""

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
    ZONE_EVACUATED = "zone-evacuated"
    CALLER_GONE = "caller-gone"
    PAYLOADS_FULL = "payloads-full"


def refusal(reason: str, detail: str, retry_after_ms: int = 0, leader: str = "") -> pb.Refusal:
    """Return a refusal; `retry_after_ms` is 0 where a retry cannot succeed."""
    return pb.Refusal(reason=reason, detail=detail, retry_after_ms=retry_after_ms, leader=leader)


def not_leader(leader: str | None) -> pb.Refusal:
    """Return the refusal of a host that does not lead; it names the leader if known."""
    detail = f"the leader is {leader}" if leader else "this host knows no leader"
    return refusal(RefusalReason.NOT_LEADER, detail, RETRY_AFTER_MS, leader or "")
