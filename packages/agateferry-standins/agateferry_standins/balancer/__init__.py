"""A TCP balancer over the callers' ports."""

from agateferry_standins.balancer.balancer import Backend, Balancer

__all__ = ["Backend", "Balancer"]
