"""Quarantine of failing workers, and detection of jobs that fail wherever they run.

A worker on which everything fails is always free and therefore attracts work. After several
failures in a row it is quarantined and gets one probe request at a time. A job that failed on
several workers and succeeded on none is itself the cause: its failures do not count against the
workers, and those already counted are removed.
"""

from dataclasses import dataclass, field

from agateferry_scheduling.scheduler.messages import PendingRequest, Quarantine, SchedulingConfig

JOB_FAULT_AFTER_WORKERS = 3
MAX_PROBE_DELAY_MS = 30 * 60_000


@dataclass(slots=True)
class WorkerFailures:
    """The jobs that failed on a worker since its last success, and its quarantine if any."""

    failed_jobs: list[tuple[str, str]] = field(default_factory=list)
    quarantined: bool = False
    probe_request_id: str | None = None
    next_probe_ms: int = 0
    probe_delay_ms: int = 0


@dataclass(slots=True)
class JobFailures:
    """The workers on which a job failed since its last success."""

    failed_workers: set[str] = field(default_factory=set)


class HealthTracker:
    """Record the outcomes of requests, and quarantine workers by them.

    The methods that record an outcome return the quarantines that it starts or lifts.
    """

    def __init__(self, config: SchedulingConfig) -> None:
        self.config = config
        self.workers: dict[str, WorkerFailures] = {}
        self._jobs: dict[tuple[str, str], JobFailures] = {}
        self._requests: dict[str, set[str]] = {}

    def record_success(self, request: PendingRequest, workers: tuple[str, ...]) -> list[Quarantine]:
        """Clear the failures of the job and of the workers on which it ran."""
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
        """Count a failure of a request on these workers."""
        key = (request.team, request.job)
        job = self._jobs.setdefault(key, JobFailures())
        job.failed_workers.update(workers)
        self._requests.setdefault(request.request_id, set()).update(workers)
        if len(job.failed_workers) >= JOB_FAULT_AFTER_WORKERS:
            return self._remove_failures_of_job(key)
        return [
            q
            for name in workers
            if (q := self._count_worker_failure(name, key, now_ms)) is not None
        ]

    def fails_everywhere(self, request_id: str) -> bool:
        """Return whether a request failed on several different workers."""
        return len(self._requests.get(request_id, ())) >= JOB_FAULT_AFTER_WORKERS

    def forget(self, request_id: str) -> None:
        """Remove the record of a request that will not be queued again."""
        self._requests.pop(request_id, None)

    def failed_workers_of(self, request_id: str) -> set[str]:
        """Return the workers on which a request already failed."""
        return self._requests.get(request_id, set())

    def probe_due(self, now_ms: int) -> str | None:
        """Return a quarantined worker on which a probe may start now, or None."""
        for name, failures in self.workers.items():
            if (
                failures.quarantined
                and failures.probe_request_id is None
                and now_ms >= failures.next_probe_ms
            ):
                return name
        return None

    def record_probe_start(self, worker: str, request_id: str) -> None:
        """Record that a request started as the probe of a quarantined worker."""
        self.workers[worker].probe_request_id = request_id

    def record_probe_end(self, request_id: str, now_ms: int) -> None:
        """Double the delay of the next probe, unless a success already lifted the quarantine."""
        for failures in self.workers.values():
            if failures.probe_request_id == request_id:
                failures.probe_request_id = None
                failures.probe_delay_ms = min(2 * failures.probe_delay_ms, MAX_PROBE_DELAY_MS)
                failures.next_probe_ms = now_ms + failures.probe_delay_ms

    def is_quarantined(self, worker: str) -> bool:
        """Return whether a worker is quarantined, so that only single probes start there."""
        failures = self.workers.get(worker)
        return failures is not None and failures.quarantined

    def _count_worker_failure(
        self, name: str, key: tuple[str, str], now_ms: int
    ) -> Quarantine | None:
        failures = self.workers.setdefault(name, WorkerFailures())
        failures.failed_jobs.append(key)
        failure_count = len(failures.failed_jobs)
        if failures.quarantined or failure_count < self.config.quarantine_after_failures:
            return None
        failures.quarantined = True
        failures.probe_delay_ms = self.config.quarantine_probe_ms
        failures.next_probe_ms = now_ms + failures.probe_delay_ms
        return Quarantine(name, False, f"{failure_count} failures in a row, the last of {key[1]}")

    def _remove_failures_of_job(self, key: tuple[str, str]) -> list[Quarantine]:
        lifted = []
        for name, failures in self.workers.items():
            failures.failed_jobs = [other for other in failures.failed_jobs if other != key]
            cleared = len(failures.failed_jobs) < self.config.quarantine_after_failures
            if failures.quarantined and cleared:
                failures.quarantined = False
                lifted.append(Quarantine(name, True, f"{key[1]} fails on every worker"))
        return lifted
