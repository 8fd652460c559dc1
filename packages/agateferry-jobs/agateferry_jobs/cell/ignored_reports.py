"""Count the reports that are not used, and log each case once while it is repeated."""

from collections import OrderedDict

from agateferry_core.logs import Event, EventLogger
from agateferry_jobs import metrics
from agateferry_jobs.ledger import WorkerIncarnation

MAX_LOGGED = 1_000
"""How many cases are remembered, so that each is logged once."""

Case = tuple[str, int, str, str]
"""The id, `born` and address that a report gives, and why it is not used."""


class IgnoredReports:
    """Log and count reports that are not used; `event` is the event to log them as."""

    def __init__(self, event: Event) -> None:
        self._event = event
        self._logged: OrderedDict[Case, None] = OrderedDict()
        self._log = EventLogger()

    def record(self, incarnation: WorkerIncarnation, reason: str, **about: int) -> None:
        """Count a report of `incarnation` that is not used, and log it with `about`."""
        metrics.REPORTS_IGNORED.labels(reason).inc()
        case = (incarnation.id, incarnation.born, incarnation.address, reason)
        if case in self._logged:
            return
        self._logged[case] = None
        if len(self._logged) > MAX_LOGGED:
            self._logged.popitem(last=False)
        self._log.warning(
            self._event,
            worker=incarnation.id,
            born=incarnation.born,
            address=incarnation.address,
            service=incarnation.service,
            state=incarnation.state,
            reason=reason,
            **about,
        )
