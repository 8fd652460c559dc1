"""A TCP relay that can cut one direction."""

from agateferry_standins.relay.relay import Direction, Flow, Relay

__all__ = ["Direction", "Flow", "Relay"]
