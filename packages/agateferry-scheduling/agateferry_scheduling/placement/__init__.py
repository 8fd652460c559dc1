"""The choice of workers for a request, by the cost of the placement."""

from agateferry_scheduling.placement.first_fit import first_fit

__all__ = ["first_fit"]
