"""Which shapes each team is promised, and where they can be laid out."""

from agateferry_scheduling.guarantees.layout import Cell, Layout

__all__ = ["Cell", "Layout"]
