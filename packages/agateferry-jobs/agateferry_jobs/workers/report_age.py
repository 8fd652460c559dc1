"""Whether a worker has reported its capacity lately enough to start work by it."""


class ReportAge:
    """The age of a worker's last report, on the local clock.

    A worker may shrink at any time, and only its reports show it. Without a `max_age_ms` any
    report is recent enough. Until the first report to this leader, earlier ones count as having
    come up to `inherited_ms`, None if that is unknown.
    """

    def __init__(self, max_age_ms: int | None, inherited_ms: int | None) -> None:
        self._max_age_ms = max_age_ms
        self._inherited_ms = inherited_ms
        self._last_ms: int | None = None

    def record(self, now_ms: int) -> None:
        """Record that a report has arrived."""
        self._last_ms = now_ms

    def record_silence(self) -> None:
        """Record that the worker does not answer, so it may not have reached earlier leaders."""
        self._inherited_ms = None

    def is_recent(self, now_ms: int) -> bool:
        """Return whether work may start by what the last report showed."""
        if self._max_age_ms is None:
            return True
        last_ms = self._last_ms if self._last_ms is not None else self._inherited_ms
        return last_ms is not None and now_ms - last_ms <= self._max_age_ms
