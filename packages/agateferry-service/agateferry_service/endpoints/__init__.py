"""The workers of a zone: who they are and when they were last heard of."""

from agateferry_service.endpoints.registry import RegisteredWorker, Registry, WorkerState

__all__ = ["RegisteredWorker", "Registry", "WorkerState"]
