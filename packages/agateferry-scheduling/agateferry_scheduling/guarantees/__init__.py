"""The teams' guaranteed shapes, and a layout that proves that all fit at the same time."""

from agateferry_scheduling.guarantees.layout import Cell, Layout

__all__ = ["Cell", "Layout"]
