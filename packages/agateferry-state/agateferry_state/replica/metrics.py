"""Metrics of replicas and their transport."""

from prometheus_client import CollectorRegistry, Counter, Histogram

SYNC_BUCKETS_S = (0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5)

MESSAGES_DROPPED = Counter(
    "agateferry_replica_messages_dropped_total",
    "Messages to other hosts dropped before they were sent, by reason.",
    ["reason"],
)
MESSAGES_REFUSED = Counter(
    "agateferry_replica_messages_refused_total",
    "Messages from other hosts rejected, by reason.",
    ["reason"],
)
RECONNECTS = Counter(
    "agateferry_replica_reconnects_total",
    "Streams to other hosts that broke and were reopened, by reason.",
    ["reason"],
)
STORAGE_FAILURES = Counter(
    "agateferry_replica_storage_failures_total",
    "Failures of the data folder, by kind.",
    ["kind"],
)
PROPOSALS_REFUSED = Counter(
    "agateferry_replica_proposals_refused_total",
    "Proposals and reads that failed or whose outcome is unknown, by reason.",
    ["reason"],
)
PEER_BYTES = Counter(
    "agateferry_peer_bytes_total",
    "Bytes of messages to and from other entry hosts, without gRPC, TCP and UDP framing.",
    ["direction"],
)
SYNC_SECONDS = Histogram(
    "agateferry_sync_seconds",
    "Duration of a log sync in seconds.",
    buckets=SYNC_BUCKETS_S,
)


def count_sent(size: int) -> None:
    """Count bytes sent to another entry host."""
    PEER_BYTES.labels("sent").inc(size)


def count_received(size: int) -> None:
    """Count bytes received from another entry host."""
    PEER_BYTES.labels("received").inc(size)


def register(registry: CollectorRegistry) -> None:
    """Add the metrics of this process to a daemon's registry."""
    for metric in (
        MESSAGES_DROPPED,
        MESSAGES_REFUSED,
        RECONNECTS,
        STORAGE_FAILURES,
        PROPOSALS_REFUSED,
        PEER_BYTES,
        SYNC_SECONDS,
    ):
        registry.register(metric)
