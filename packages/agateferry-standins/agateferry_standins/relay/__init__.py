"""A TCP relay that can hold or drop the bytes of one direction."""

from agateferry_standins.relay.relay import Direction, Flow, Relay

__all__ = ["Direction", "Flow", "Relay"]
