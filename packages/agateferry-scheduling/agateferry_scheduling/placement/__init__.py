"""Where to put a request, among the workers that have room."""

from agateferry_scheduling.placement.first_fit import first_fit

__all__ = ["first_fit"]
