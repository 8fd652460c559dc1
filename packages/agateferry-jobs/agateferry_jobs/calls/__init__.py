"""What entries and followers ask the leader for, and how the leader is found."""

from agateferry_jobs.calls.client import LeaderClient
from agateferry_jobs.calls.messages import Call, Reply

__all__ = ["Call", "LeaderClient", "Reply"]
