"""The gauges of a cell, which are refreshed when metrics are read."""

from collections import Counter

from agateferry_core.demand import Urgency
from agateferry_core.metrics import Metrics
from agateferry_service.cell.machine import CellMachine
from agateferry_service.endpoints.registry import WorkerState


def refresh_gauges(metrics: Metrics, machine: CellMachine) -> None:
    """Set the gauges from this host's state: workers, requests, records revision, evacuation."""
    workers = Counter(item.state for item in machine.registry)
    for state in WorkerState:
        metrics.set_workers(state.value, workers[state])
    queued: Counter[Urgency] = Counter()
    running: Counter[Urgency] = Counter()
    for request in machine.ledger.open_requests():
        counted = running if request.has_active_attempt else queued
        counted[request.spec.urgency] += 1
    for urgency in Urgency:
        metrics.set_queued(urgency.value, queued[urgency])
        metrics.set_running(urgency.value, running[urgency])
    metrics.set_revision(machine.records.revision)
    evacuated = machine.catalog.evacuation() is not None
    metrics.set_evacuated(evacuated, running.total() if evacuated else 0)
