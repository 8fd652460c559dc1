"""Metrics of the HTTP ports: what they hold for clients, and whom they reject."""

from prometheus_client import CollectorRegistry, Counter, Gauge

REJECTIONS = Counter(
    "agateferry_http_rejections",
    "Requests rejected and connections closed before a request was handled, by reason.",
    ["port", "reason"],
    registry=None,
)
CONNECTIONS = Gauge(
    "agateferry_http_connections", "Open connections of clients.", ["port"], registry=None
)
HELD_BYTES = Gauge(
    "agateferry_http_held_bytes",
    "Bytes held for clients: requests, and answers that they have not read.",
    registry=None,
)


def register(registry: CollectorRegistry) -> None:
    """Add the metrics of this process to a registry."""
    for metric in (REJECTIONS, CONNECTIONS, HELD_BYTES):
        registry.register(metric)
