"""Which waiting request comes next."""

from agateferry_scheduling.queueing.queue import (
    RequestGroup,
    RequestGroupKey,
    Queue,
    is_large,
    group_key_of,
)

__all__ = ["RequestGroup", "RequestGroupKey", "Queue", "is_large", "group_key_of"]
