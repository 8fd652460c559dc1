"""Which waiting request comes next."""

from agateferry_scheduling.queueing.queue import Group, GroupKey, Queue, is_large, key_of

__all__ = ["Group", "GroupKey", "Queue", "is_large", "key_of"]
