"""Log and count why jobs wait."""

from typing import Any

from agateferry_core.logs import EventLogger
from agateferry_jobs import metrics
from agateferry_jobs.cell import events
from agateferry_jobs.ledger import Ledger
from agateferry_jobs.planning import Plan
from agateferry_jobs.planning.idle_jobs import IdleJob
from agateferry_jobs.planning.wait_reasons import WaitReason

IDLE_LIMIT_MS = 3_000
"""The platform counts a job as lost that is idle for this long beside twice the room it needs."""
LOG_INTERVAL_MS = 2_000
"""How often a changed reason of one job is logged at most; the counter takes every change."""


class WaitingJobs:
    """The reason for which each job waits, from one plan to the next."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._reasons: dict[str, WaitReason] = {}
        self._logged: dict[str, tuple[WaitReason, int]] = {}
        """By job id, the reason that was logged last, and when."""
        self._logged_as_idle: set[str] = set()
        self._warned: set[str] = set()
        self._log = EventLogger()

    def observe(self, plan: Plan, now_ms: int) -> None:
        """Count the reasons that are new in a plan, and log those of jobs not logged just now.

        A reason that came up soon after another one was logged is logged once the interval is over,
        if it lasts. A job that is idle from now on although it fits is logged again.
        """
        idle = plan.idle.keys()
        for id, reason in plan.waits.items():
            is_new = self._reasons.get(id) is not reason
            if is_new:
                metrics.PASSED_OVER.labels(reason.value).inc()
            logged, logged_ms = self._logged.get(id, (None, now_ms - LOG_INTERVAL_MS))
            is_newly_idle = id in idle and id not in self._logged_as_idle
            is_unlogged = is_new or is_newly_idle or reason is not logged
            if is_unlogged and now_ms - logged_ms >= LOG_INTERVAL_MS:
                self._logged[id] = (reason, now_ms)
                self._log_wait(id, reason, plan.idle.get(id), now_ms)
                self._logged_as_idle |= {id} & idle
        self._reasons = dict(plan.waits)
        self._logged_as_idle &= idle
        self._logged = {id: logged for id, logged in self._logged.items() if id in plan.waits}
        self._observe_idle(plan)

    def _observe_idle(self, plan: Plan) -> None:
        """Warn of each job that has been idle for too long although it would fit; count them."""
        too_long = {id for id, idle in plan.idle.items() if idle.idle_ms >= IDLE_LIMIT_MS}
        metrics.IDLE_JOBS.set(len(too_long))
        for id in too_long - self._warned:
            self._log.warning(
                events.JOB_IDLE, job=id, reason=plan.waits[id], **_idle_fields(plan.idle[id])
            )
        self._warned = too_long

    def _log_wait(self, id: str, reason: WaitReason, idle: IdleJob | None, now_ms: int) -> None:
        job = self._ledger.jobs.get(id)
        if job is None:
            return
        self._log.info(
            events.JOB_WAITS,
            job=id,
            reason=reason.value,
            waited_ms=now_ms - job.accepted_ms,
            priority=job.priority,
            team=job.team,
            **(_idle_fields(idle) if idle is not None else {}),
        )


def _idle_fields(idle: IdleJob) -> dict[str, Any]:
    """Return the log fields that tell how an idle job compares to the room there is."""
    return {
        "idle_ms": idle.idle_ms,
        "room": idle.room,
        "needed": idle.needed,
        "choices": list(idle.choices),
    }
