"""Workers that fail what they are given, and jobs that fail wherever they run.

A worker that fails everything is always free and so attracts work. After a few failures in a row it
gets one probe at a time. A job that failed on several workers and succeeded on none is itself the
cause: its failures are not laid to the workers, and those already counted are taken back.
"""

from dataclasses import dataclass, field

from agateferry_scheduling.scheduler.messages import PendingRequest, Quarantine, SchedulingConfig

SUSPECT_AFTER_WORKERS = 3
LONGEST_PROBE_GAP_MS = 30 * 60_000


@dataclass(slots=True)
class WorkerFailures:
    """The jobs that failed on a worker since its last success, and its quarantine if any."""

    failed_jobs: list[tuple[str, str]] = field(default_factory=list)
    quarantined: bool = False
    probe: str | None = None
    next_probe_ms: int = 0
    gap_ms: int = 0


@dataclass(slots=True)
class JobFailures:
    """The workers on which a job failed since its last success."""

    failed_workers: set[str] = field(default_factory=set)


class HealthTracker:
    """Judge workers and jobs by how the work ended."""

    def __init__(self, config: SchedulingConfig) -> None:
        self.config = config
        self.workers: dict[str, WorkerFailures] = {}
        self._jobs: dict[tuple[str, str], JobFailures] = {}
        self._requests: dict[str, set[str]] = {}

    def record_success(self, request: PendingRequest, workers: tuple[str, ...]) -> list[Quarantine]:
        """Forget failures of the job and of the workers that it ran on."""
        self._jobs.pop((request.team, request.job), None)
        self._requests.pop(request.request_id, None)
        lifted = []
        for name in workers:
            if self.workers.pop(name, WorkerFailures()).quarantined:
                lifted.append(Quarantine(name, True, f"{request.request_id} succeeded there"))
        return lifted

    def record_failure(
        self, request: PendingRequest, workers: tuple[str, ...], now_ms: int
    ) -> list[Quarantine]:
        """Count a failure that is laid to these workers."""
        key = (request.team, request.job)
        job = self._jobs.setdefault(key, JobFailures())
        job.failed_workers.update(workers)
        self._requests.setdefault(request.request_id, set()).update(workers)
        if len(job.failed_workers) >= SUSPECT_AFTER_WORKERS:
            return self._clear(key)
        return [q for name in workers if (q := self._blame(name, key, now_ms)) is not None]

    def fails_everywhere(self, request_id: str) -> bool:
        """Tell whether a request failed on several different workers."""
        return len(self._requests.get(request_id, ())) >= SUSPECT_AFTER_WORKERS

    def forget(self, request_id: str) -> None:
        """Drop what is known of a request that will not come back."""
        self._requests.pop(request_id, None)

    def failed_workers_of(self, request_id: str) -> set[str]:
        """Return the workers on which the request already failed."""
        return self._requests.get(request_id, set())

    def probe_due(self, now_ms: int) -> str | None:
        """Return a quarantined worker that may be given one probe now."""
        for name, health in self.workers.items():
            if health.quarantined and health.probe is None and now_ms >= health.next_probe_ms:
                return name
        return None

    def record_probe_start(self, worker: str, request_id: str) -> None:
        """Note the probe that a quarantined worker was given."""
        self.workers[worker].probe = request_id

    def record_probe_end(self, request_id: str, now_ms: int) -> None:
        """Wait longer for the next probe, unless a success has lifted the quarantine already."""
        for health in self.workers.values():
            if health.probe == request_id:
                health.probe = None
                health.gap_ms = min(2 * health.gap_ms, LONGEST_PROBE_GAP_MS)
                health.next_probe_ms = now_ms + health.gap_ms

    def is_quarantined(self, worker: str) -> bool:
        """Tell whether a worker gets single probes only."""
        health = self.workers.get(worker)
        return health is not None and health.quarantined

    def _blame(self, name: str, key: tuple[str, str], now_ms: int) -> Quarantine | None:
        health = self.workers.setdefault(name, WorkerFailures())
        health.failed_jobs.append(key)
        failures = len(health.failed_jobs)
        if health.quarantined or failures < self.config.quarantine_after_failures:
            return None
        health.quarantined = True
        health.gap_ms = self.config.quarantine_probe_ms
        health.next_probe_ms = now_ms + health.gap_ms
        return Quarantine(name, False, f"{failures} failures in a row, the last of {key[1]}")

    def _clear(self, key: tuple[str, str]) -> list[Quarantine]:
        lifted = []
        for name, health in self.workers.items():
            health.failed_jobs = [other for other in health.failed_jobs if other != key]
            cleared = len(health.failed_jobs) < self.config.quarantine_after_failures
            if health.quarantined and cleared:
                health.quarantined = False
                lifted.append(Quarantine(name, True, f"{key[1]} fails on every worker"))
        return lifted
