"""How long urgent jobs take until they begin, and what held up those that begin late."""

from dataclasses import dataclass, field
from typing import Any

from agateferry_core.clock import MS_PER_S
from agateferry_core.logs import EventLogger
from agateferry_jobs import metrics
from agateferry_jobs.cell import events
from agateferry_jobs.ledger import Job, Ledger
from agateferry_jobs.ledger.commands import RunStart
from agateferry_jobs.ledger.state import RunKey, gang_of
from agateferry_jobs.planning import Plan
from agateferry_jobs.planning.ranks import (
    GUARANTEED_RANK,
    URGENT_PRIORITY,
    guaranteed_gpus,
    urgent_gpus,
)

LATE_START_MS = 1_000
"""An urgent job that begins later than this is logged; a preemption takes 0.2 to 0.4 s."""
MAX_STAGES = 24
"""How many changes are kept for one job, so that a log line stays short."""
FIRST_STEP = "0.0"


@dataclass(slots=True)
class JobStart:
    """What an urgent job has waited for since it was accepted."""

    stages: list[str] = field(default_factory=list)
    """Each change with the job's age in ms, such as `1800 preempting rank=0 team=17/24`."""
    last_stage: str = ""
    was_borrowed: bool = False
    """Whether a plan found the job beyond its team's guarantee."""
    begun: set[str] = field(default_factory=set)
    """The subtasks of the first step whose run has begun."""
    open_stops: dict[RunKey, str] = field(default_factory=dict)
    """The runs that are being stopped for the job, with their worker and since which age."""
    is_logged: bool = False

    def add(self, age_ms: int, stage: str) -> None:
        """Add a stage, unless it is the same as the last one."""
        if stage == self.last_stage:
            return
        self.last_stage = stage
        if len(self.stages) < MAX_STAGES:
            self.stages.append(f"{age_ms} {stage}")


class UrgentStarts:
    """The urgent jobs that have not begun all subtasks of their first step, since this host leads.

    A run has begun once its worker has confirmed the start or lists it.
    """

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._starts: dict[str, JobStart] = {}
        self._stops: dict[RunKey, str] = {}
        """The job for which each run is being stopped."""
        self._log = EventLogger()

    def clear(self) -> None:
        """Forget all jobs, as another host leads."""
        self._starts.clear()
        self._stops.clear()

    def observe(self, plan: Plan, now_ms: int) -> None:
        """Record why urgent jobs wait as of a plan, and which runs are stopped for them."""
        self._forget_ended()
        waiting = [job for id in plan.waits if (job := self._tracked_job(id)) is not None]
        if not waiting:
            return
        team_gpus = urgent_gpus(self._ledger.jobs.values(), self._ledger.peak_gpus)
        for job in waiting:
            start = self._starts.setdefault(job.id, JobStart())
            rank = plan.ranks.get(job.id, GUARANTEED_RANK)
            start.was_borrowed |= rank != GUARANTEED_RANK
            choices = "+".join(plan.choices.get(job.id, ())) or "none"
            stage = (
                f"{plan.waits[job.id].value} rank={rank} choices={choices}"
                f" team={team_gpus[job.team]}/{guaranteed_gpus(job.team, self._ledger.manifest)}"
            )
            start.add(now_ms - job.accepted_ms, stage)
        self._observe_stops(plan, now_ms)
        for job in waiting:
            self._log_late(job, now_ms)

    def run_placed(self, placed: RunStart, now_ms: int) -> None:
        """Record that the start of a run is ordered."""
        job = self._tracked_job(placed.job)
        if job is not None and gang_of(placed.subtask) == FIRST_STEP:
            start = self._starts.setdefault(job.id, JobStart())
            run = placed.run
            start.add(
                now_ms - job.accepted_ms,
                f"placed {placed.subtask} run {run.number} on {run.worker}",
            )

    def run_begun(self, key: RunKey, now_ms: int) -> None:
        """Record that a run has begun; log and count a job whose first step has begun with it."""
        job = self._tracked_job(key[0])
        if job is None or gang_of(key[1]) != FIRST_STEP:
            return
        start = self._starts.setdefault(job.id, JobStart())
        start.begun.add(key[1])
        if len(start.begun) < job.spec.steps[0].count:
            return
        delay_ms = now_ms - job.accepted_ms
        metrics.URGENT_START_SECONDS.labels(
            "borrowed" if start.was_borrowed else "guaranteed"
        ).observe(delay_ms / MS_PER_S)
        if delay_ms >= LATE_START_MS:
            self._log.info(events.URGENT_JOB_BEGUN_LATE, **self._fields(job, start, delay_ms))
        self._starts[job.id] = JobStart(is_logged=True, begun=start.begun)

    def run_ended(self, key: RunKey) -> None:
        """Record the end of a run, which may be one that was stopped for an urgent job."""
        waiting = self._stops.pop(key, None)
        start = self._starts.get(waiting) if waiting is not None else None
        if start is not None:
            start.open_stops.pop(key, None)

    def _observe_stops(self, plan: Plan, now_ms: int) -> None:
        for stop in plan.stops:
            start = self._starts.get(stop.for_job)
            if start is not None:
                age_ms = now_ms - self._ledger.jobs[stop.for_job].accepted_ms
                start.open_stops[stop.key] = f"{stop.run.worker} since {age_ms}"
                self._stops[stop.key] = stop.for_job

    def _log_late(self, job: Job, now_ms: int) -> None:
        """Log once a job that has waited for long, as it may never begin."""
        start, age_ms = self._starts[job.id], now_ms - job.accepted_ms
        if not start.is_logged and age_ms >= LATE_START_MS:
            start.is_logged = True
            self._log.info(events.URGENT_JOB_WAITS_LONG, **self._fields(job, start, age_ms))

    def _fields(self, job: Job, start: JobStart, age_ms: int) -> dict[str, Any]:
        stops = [f"{key[0]}.{key[1]} on {each}" for key, each in start.open_stops.items()]
        return {
            "job": job.id,
            "team": job.team,
            "age_ms": age_ms,
            "stages": start.stages,
            "open_stops": stops,
        }

    def _tracked_job(self, id: str) -> Job | None:
        """Return an urgent job whose first step has not begun, or None."""
        job = self._ledger.jobs.get(id)
        if job is None or job.priority != URGENT_PRIORITY or job.spec.repeat_count:
            return None
        start = self._starts.get(id)
        has_begun = start is not None and len(start.begun) >= job.spec.steps[0].count
        return None if has_begun else job

    def _forget_ended(self) -> None:
        jobs = self._ledger.jobs
        ended = [id for id in self._starts if id not in jobs or jobs[id].is_over]
        for id in ended:
            del self._starts[id]
        self._stops = {key: id for key, id in self._stops.items() if id in self._starts}
