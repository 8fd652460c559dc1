"""Which workers and jobs fail."""

from agateferry_scheduling.health.health import Health

__all__ = ["Health"]
