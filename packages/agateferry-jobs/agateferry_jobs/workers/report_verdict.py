"""Whether a report of a known incarnation is used, and why not."""

from enum import Enum


class ReportVerdict(Enum):
    """What becomes of a report; the value is the reason in logs and metrics."""

    CURRENT = "current"
    """It is the newest one of its incarnation."""
    OVERTAKEN = "overtaken"
    """A later one of the incarnation was recorded before."""
    UNLIKELY_CLOCK = "unlikely clock"
    """Its clock is not that of the incarnation, or was read long ago."""
