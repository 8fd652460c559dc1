"""Entries, which forward callers' calls to the leader and store nothing."""
