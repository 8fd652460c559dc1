"""The workers of a zone: who they are and when they were last heard of."""

from agateferry_service.endpoints.registry import RegisteredWorker, WorkerRegistry, WorkerState

__all__ = ["RegisteredWorker", "WorkerRegistry", "WorkerState"]
