"""Shared types of agateferry: clock, demands, log events, metrics and helpers of tests."""

__version__ = "0.1.0"
