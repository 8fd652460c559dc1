"""Which workers and jobs fail."""

from agateferry_scheduling.health.health import HealthTracker

__all__ = ["HealthTracker"]
