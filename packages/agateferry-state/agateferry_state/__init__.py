"""Durable replicated state of agateferry: journal, replication, members, replica and records."""

__version__ = "0.1.0"
