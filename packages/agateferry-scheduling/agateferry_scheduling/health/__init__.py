"""The tracking of failing workers and jobs."""

from agateferry_scheduling.health.health import HealthTracker

__all__ = ["HealthTracker"]
