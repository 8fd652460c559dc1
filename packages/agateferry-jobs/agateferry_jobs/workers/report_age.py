"""Whether a worker has reported its capacity lately enough to start work by it."""


class ReportAge:
    """The age of a worker's last report, on the local clock; `last_ms` is None if it is unknown.

    A worker may shrink at any time, and only its reports show it. Without a `max_age_ms` any
    report is recent enough.
    """

    def __init__(self, max_age_ms: int | None, last_ms: int | None) -> None:
        self._max_age_ms = max_age_ms
        self._last_ms = last_ms

    def record(self, now_ms: int) -> None:
        """Record that a report has arrived."""
        self._last_ms = now_ms

    def is_recent(self, now_ms: int) -> bool:
        """Return whether work may start by what the last report showed."""
        if self._max_age_ms is None:
            return True
        return self._last_ms is not None and now_ms - self._last_ms <= self._max_age_ms
