"""Entries: they carry callers' calls to the leader and keep nothing."""
