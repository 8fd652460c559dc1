"""The workers of a zone: their registry and the HTTP port for their heartbeats."""

from agateferry_service.endpoints.registry import RegisteredWorker, WorkerRegistry, WorkerState

__all__ = ["RegisteredWorker", "WorkerRegistry", "WorkerState"]
