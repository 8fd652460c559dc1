"""Shared types of agateferry: clock, outcomes, demands, settings, logs and metrics."""

__version__ = "0.1.0"
