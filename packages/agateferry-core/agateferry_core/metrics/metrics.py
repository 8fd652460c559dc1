"""The metrics that a daemon shows at `/metrics`.

A `Metrics` value has a registry of its own, so that several daemons or tests in one process do not
count into each other. For example `metrics.refused("team-queue-full")` adds one to
`agateferry_refusals_total{reason="team-queue-full"}`, and `metrics.render()` gives the text that
Prometheus reads. Labels take values from enumerations only; names of requests are never labels.
"""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4

CONTENT_TYPE = CONTENT_TYPE_PLAIN_0_0_4
MS_PER_S = 1_000.0
WAIT_BUCKETS_S = (0.005, 0.02, 0.1, 0.5, 1.0, 3.6, 10.0, 60.0, 600.0, 3_600.0, 14_400.0)
RUN_BUCKETS_S = (0.02, 0.1, 0.5, 2.0, 10.0, 60.0, 600.0, 3_600.0, 14_400.0, 86_400.0)
HTTP_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 2.0, 10.0, 60.0)


class Metrics:
    """Count what one daemon does; each method stands for one thing that can happen."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._declare_requests()
        self._declare_workers()
        self._declare_state()

    def _declare_requests(self) -> None:
        self._accepted = self._counter("accepted", "Requests accepted and stored.", "job_class")
        self._refusals = self._counter("refusals", "Requests and calls refused.", "reason")
        self._retries = self._counter("retries", "Calls and attempts made again.", "reason")
        self._ended = self._counter("ended", "Requests that reached their end.", "state")
        self._cancelled = self._counter("cancellations", "Cancelled requests.", "stage")
        self._preempted = self._counter("preemptions", "Attempts taken back.", "job_class")
        self._hangups = self._counter("caller_hangups", "Callers that hung up.", "cancelled")
        self._waiting = self._histogram(
            "waiting_seconds", "From acceptance to the start.", WAIT_BUCKETS_S, "job_class"
        )
        self._completion = self._histogram(
            "completion_seconds", "From acceptance to the end.", RUN_BUCKETS_S, "job_class"
        )
        self._http = self._histogram(
            "http_seconds", "Time to answer an HTTP call.", HTTP_BUCKETS_S, "port", "status"
        )

    def _declare_workers(self) -> None:
        self._late = self._counter("late_answers", "Answers that nobody waits for.", "reason")
        self._broken = self._counter("broken_answers", "Answers that are not whole.", "reason")
        self._silent = self._counter("silent_connections", "Connections given up.", "hop")
        self._announcements = self._counter("announcements", "Announcements.", "outcome")
        self._workers = self._gauge("workers", "Workers of the zone by state.", "state")
        self._queued = self._gauge("queued", "Requests waiting to be placed.", "job_class")
        self._running = self._gauge("running", "Requests that hold workers.", "job_class")
        self._quarantines = self._counter("quarantines", "Workers set apart or back.", "change")

    def _declare_state(self) -> None:
        self._proposals = self._counter("proposals", "Commands proposed.", "log", "outcome")
        self._leader_changes = self._counter("leader_changes", "Leader changes seen.", "log")
        self._is_leader = self._gauge("is_leader", "1 where this host leads.", "log")
        self._revision = self._gauge("records_revision", "Newest revision in force here.")

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"agateferry_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"agateferry_{name}", text, labels, registry=self.registry)

    def _histogram(
        self, name: str, text: str, buckets: tuple[float, ...], *labels: str
    ) -> Histogram:
        full = f"agateferry_{name}"
        return Histogram(full, text, labels, buckets=buckets, registry=self.registry)

    def accepted(self, job_class: str) -> None:
        """Count a request that was accepted and stored."""
        self._accepted.labels(job_class).inc()

    def refused(self, reason: str) -> None:
        """Count a refusal; `reason` is the member of the problem details."""
        self._refusals.labels(reason).inc()

    def retried(self, reason: str) -> None:
        """Count a call or an attempt that is made again."""
        self._retries.labels(reason).inc()

    def started(self, job_class: str, waited_ms: int) -> None:
        """Observe how long a request waited for its start."""
        self._waiting.labels(job_class).observe(waited_ms / MS_PER_S)

    def ended(self, state: str, job_class: str, took_ms: int) -> None:
        """Count the end of a request and observe the time since its acceptance."""
        self._ended.labels(state).inc()
        self._completion.labels(job_class).observe(took_ms / MS_PER_S)

    def cancelled(self, stage: str) -> None:
        """Count a cancelled request by the stage that it had reached."""
        self._cancelled.labels(stage).inc()

    def preempted(self, job_class: str) -> None:
        """Count an attempt whose workers were taken back."""
        self._preempted.labels(job_class).inc()

    def caller_hung_up(self, cancelled: bool) -> None:
        """Count a caller that hung up, and whether that cancelled its request."""
        self._hangups.labels("yes" if cancelled else "no").inc()

    def answered_http(self, port: str, status: int, took_ms: float) -> None:
        """Observe an answered HTTP call by port and status."""
        self._http.labels(port, str(status)).observe(took_ms / MS_PER_S)

    def late_answer(self, reason: str) -> None:
        """Count an answer of an attempt or lease that is no longer waited for."""
        self._late.labels(reason).inc()

    def broken_answer(self, reason: str) -> None:
        """Count an answer that failed the check of its length, digest or form."""
        self._broken.labels(reason).inc()

    def silent_connection(self, hop: str) -> None:
        """Count a connection that was given up because it went silent."""
        self._silent.labels(hop).inc()

    def announced(self, outcome: str) -> None:
        """Count an announcement of a worker by its outcome."""
        self._announcements.labels(outcome).inc()

    def quarantined(self, lifted: bool) -> None:
        """Count a worker that was set apart, or that was given work again."""
        self._quarantines.labels("lifted" if lifted else "imposed").inc()

    def set_workers(self, state: str, count: int) -> None:
        """State how many workers of the zone are in a state."""
        self._workers.labels(state).set(count)

    def set_queued(self, job_class: str, count: int) -> None:
        """State how many requests of a class wait."""
        self._queued.labels(job_class).set(count)

    def set_running(self, job_class: str, count: int) -> None:
        """State how many requests of a class hold workers."""
        self._running.labels(job_class).set(count)

    def proposed(self, log: str, outcome: str) -> None:
        """Count a command proposed to a replicated log by its outcome."""
        self._proposals.labels(log, outcome).inc()

    def leader_changed(self, log: str, leads: bool) -> None:
        """Count a change of leader of a log, and state whether this host leads now."""
        self._leader_changes.labels(log).inc()
        self._is_leader.labels(log).set(1 if leads else 0)

    def set_revision(self, revision: int) -> None:
        """State the newest revision of the records that is in force on this host."""
        self._revision.set(revision)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
