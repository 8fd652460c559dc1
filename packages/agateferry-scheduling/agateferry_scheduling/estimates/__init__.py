"""How long work really runs, learned from what it declared."""

from agateferry_scheduling.estimates.estimates import Estimates

__all__ = ["Estimates"]
