"""Metrics of a replica and its transport: what was refused, dropped or tried again."""

from prometheus_client import CollectorRegistry, Counter, Histogram

SYNC_BUCKETS_S = (0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5)

MESSAGES_DROPPED = Counter(
    "agateferry_replica_messages_dropped_total",
    "Messages to other hosts that were dropped before they were sent, by reason.",
    ["reason"],
)
MESSAGES_REFUSED = Counter(
    "agateferry_replica_messages_refused_total",
    "Messages from other hosts that were not taken in, by reason.",
    ["reason"],
)
RECONNECTS = Counter(
    "agateferry_replica_reconnects_total",
    "Streams to other hosts that broke and are opened again, by reason.",
    ["reason"],
)
STORAGE_FAILURES = Counter(
    "agateferry_replica_storage_failures_total",
    "Failures of the data folder, by kind.",
    ["kind"],
)
PROPOSALS_REFUSED = Counter(
    "agateferry_replica_proposals_refused_total",
    "Proposals that were not applied here, by reason.",
    ["reason"],
)
PEER_BYTES = Counter(
    "agateferry_peer_bytes_total",
    "Bytes of messages to and from other entry hosts, without the framing below them.",
    ["direction"],
)
SYNC_SECONDS = Histogram(
    "agateferry_sync_seconds",
    "Time of one disk sync.",
    buckets=SYNC_BUCKETS_S,
)


def count_sent(size: int) -> None:
    """Count bytes sent to another entry host."""
    PEER_BYTES.labels("sent").inc(size)


def count_received(size: int) -> None:
    """Count bytes received from another entry host."""
    PEER_BYTES.labels("received").inc(size)


def register(registry: CollectorRegistry) -> None:
    """Have the counters of this process shown by a daemon's own registry too."""
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
