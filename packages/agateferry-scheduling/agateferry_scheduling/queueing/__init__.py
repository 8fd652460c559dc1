"""The queue of waiting requests and the order in which they are tried."""

from agateferry_scheduling.queueing.queue import (
    Queue,
    RequestGroup,
    RequestGroupKey,
    group_key_of,
    is_large,
)

__all__ = ["Queue", "RequestGroup", "RequestGroupKey", "group_key_of", "is_large"]
