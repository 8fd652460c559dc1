"""Calls from entries and follower hosts to the leader, and the client that finds the leader."""

from agateferry_jobs.calls.client import LeaderClient
from agateferry_jobs.calls.messages import Call, Reply

__all__ = ["Call", "LeaderClient", "Reply"]
