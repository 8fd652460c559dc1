"""A TCP load balancer for the callers' ports of the entry hosts."""

from agateferry_standins.balancer.balancer import Backend, Balancer

__all__ = ["Backend", "Balancer"]
