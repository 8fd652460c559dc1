"""Counters of what a replica and its transport refused, dropped or tried again."""

from prometheus_client import CollectorRegistry, Counter

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


def register(registry: CollectorRegistry) -> None:
    """Have the counters of this process shown by a daemon's own registry too."""
    for counter in (
        MESSAGES_DROPPED,
        MESSAGES_REFUSED,
        RECONNECTS,
        STORAGE_FAILURES,
        PROPOSALS_REFUSED,
    ):
        registry.register(counter)
