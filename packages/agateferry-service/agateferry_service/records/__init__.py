"""Operators' records: the replicated log that holds them, and each zone's copy of it."""
