"""Run time estimates, learned from declared and actual run times."""

from agateferry_scheduling.estimates.estimates import Estimates

__all__ = ["Estimates"]
