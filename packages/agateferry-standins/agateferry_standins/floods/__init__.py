"""Floods of requests that are legal one by one, and the limits that a process must keep in them."""

from agateferry_standins.floods.bodies import chunked, head, with_length
from agateferry_standins.floods.flood import Flood
from agateferry_standins.floods.process_usage import ProcessUsage, UsageMonitor

__all__ = ["Flood", "ProcessUsage", "UsageMonitor", "chunked", "head", "with_length"]
