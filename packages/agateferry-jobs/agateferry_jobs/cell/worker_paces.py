"""The leader's estimates of the paces of workers; considerable changes are logged."""

import math
from collections.abc import Callable, Mapping

from agateferry_core.clock import MS_PER_S
from agateferry_core.logs import EventLogger
from agateferry_jobs import metrics
from agateferry_jobs.cell import events
from agateferry_jobs.ledger import Ledger
from agateferry_jobs.ledger.state import RunKey, WorkerKey
from agateferry_jobs.planning.paces import PaceTracker, Progress

LOG_INTERVAL_MS = 10 * MS_PER_S
"""How often a worker's pace is logged at most."""
CONSIDERABLE_CHANGE = 0.25
"""The change of a log pace that is logged, about 28 %."""


class WorkerPaces:
    """Keep the paces that plans use, and log and count considerable changes."""

    def __init__(self, ledger: Ledger) -> None:
        self._tracker = PaceTracker(ledger)
        self._logged: dict[WorkerKey, tuple[float, int]] = {}
        """By incarnation, the log pace that was logged last, and when."""
        self._log = EventLogger()

    def update(self, progress: Callable[[], Mapping[RunKey, Progress]], now_ms: int) -> None:
        """Estimate anew where the estimates are too old."""
        if not self._tracker.is_due(now_ms):
            return
        self._tracker.update(progress(), now_ms)
        self._log_changes(now_ms)

    @property
    def current(self) -> dict[WorkerKey, float]:
        """Return the pace of each known incarnation; empty if they do not differ significantly."""
        return self._tracker.paces

    def _log_changes(self, now_ms: int) -> None:
        paces = self._tracker.paces
        for key in self._logged.keys() - paces.keys():
            del self._logged[key]
        for (worker, born), pace in paces.items():
            log_pace = math.log(pace)
            before, logged_ms = self._logged.get((worker, born), (0.0, now_ms - LOG_INTERVAL_MS))
            is_considerable = abs(log_pace - before) >= CONSIDERABLE_CHANGE
            if not is_considerable or now_ms - logged_ms < LOG_INTERVAL_MS:
                continue
            self._logged[worker, born] = (log_pace, now_ms)
            metrics.WORKER_PACE.observe(pace)
            self._log.info(events.WORKER_PACE, worker=worker, pace=round(pace, 2))
