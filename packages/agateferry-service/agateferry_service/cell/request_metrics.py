"""Metrics of requests that have ended."""

from agateferry_core.metrics import Metrics
from agateferry_service.requests import Request, RequestState


def count_request_end(metrics: Metrics, request: Request) -> None:
    """Count the end of a request, and the stage at which it was cancelled."""
    took_ms = max(0, request.ended_wall_ms - request.spec.submitted_wall_ms)
    metrics.ended(request.state.value, request.spec.urgency.value, took_ms)
    if request.state is RequestState.CANCELLED and request.stage is not None:
        metrics.cancelled(request.stage.value)
