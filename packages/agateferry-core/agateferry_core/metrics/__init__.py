"""Counters, gauges and histograms of one daemon."""

from agateferry_core.metrics.metrics import CONTENT_TYPE, Metrics

__all__ = ["CONTENT_TYPE", "Metrics"]
