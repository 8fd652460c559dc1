"""The operators' manifest: queues, services, teams and their keys."""

from agateferry_jobs.manifest.manifest import Manifest, Queue, Service, Team

__all__ = ["Manifest", "Queue", "Service", "Team"]
