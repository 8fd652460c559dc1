"""The metrics that a daemon serves at `/metrics`.

Each `Metrics` object has its own registry, so that daemons or tests in one process do not share
counters. For example `metrics.refused("team-queue-full")` adds one to
`agateferry_refusals_total{reason="team-queue-full"}`, and `metrics.render()` returns the text that
Prometheus reads. Label values come from small fixed sets only; ids of requests are never labels.
"""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4

CONTENT_TYPE = CONTENT_TYPE_PLAIN_0_0_4
MS_PER_S = 1_000.0
WAIT_BUCKETS_S = (0.005, 0.02, 0.1, 0.5, 1.0, 3.6, 10.0, 60.0, 600.0, 3_600.0, 14_400.0)
RUN_BUCKETS_S = (0.02, 0.1, 0.5, 2.0, 10.0, 60.0, 600.0, 3_600.0, 14_400.0, 86_400.0)
HTTP_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 2.0, 10.0, 60.0)


class Metrics:
    """Collect the metrics of one daemon; each method records one kind of event or one level."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._declare_requests()
        self._declare_workers()
        self._declare_state()

    def _declare_requests(self) -> None:
        self._accepted = self._counter("accepted", "Requests accepted and stored.", "job_class")
        self._refusals = self._counter("refusals", "Requests and calls refused.", "reason")
        self._retries = self._counter("retries", "Calls and attempts that were retried.", "reason")
        self._ended = self._counter("ended", "Requests that ended.", "state")
        self._cancelled = self._counter("cancellations", "Cancelled requests.", "stage")
        self._preempted = self._counter("preemptions", "Preempted attempts.", "job_class")
        self._hangups = self._counter(
            "caller_hangups", "Callers that hung up before the reply.", "cancelled"
        )
        self._waiting = self._histogram(
            "waiting_seconds",
            "Time of a request from its acceptance to its start.",
            WAIT_BUCKETS_S,
            "job_class",
        )
        self._completion = self._histogram(
            "completion_seconds",
            "Time of a request from its acceptance to its end.",
            RUN_BUCKETS_S,
            "job_class",
        )
        self._http = self._histogram(
            "http_seconds",
            "Time until the reply to an HTTP call.",
            HTTP_BUCKETS_S,
            "port",
            "status",
        )

    def _declare_workers(self) -> None:
        self._late = self._counter(
            "late_answers", "Answers of attempts or leases that are over.", "reason"
        )
        self._broken = self._counter(
            "broken_answers", "Truncated or malformed answers of workers.", "reason"
        )
        self._silent = self._counter(
            "silent_connections", "Connections closed for lack of any reply.", "hop"
        )
        self._announcements = self._counter("announcements", "Announcements of workers.", "outcome")
        self._workers = self._gauge("workers", "Workers of the zone by state.", "state")
        self._queued = self._gauge("queued", "Requests waiting to be placed.", "job_class")
        self._running = self._gauge("running", "Requests with an active attempt.", "job_class")
        self._quarantines = self._counter(
            "quarantines", "Quarantines of workers imposed or lifted.", "change"
        )

    def _declare_state(self) -> None:
        self._proposals = self._counter(
            "proposals", "Commands proposed to a log.", "log", "outcome"
        )
        self._leader_changes = self._counter(
            "leader_changes", "Changes of the leader that this host saw.", "log"
        )
        self._is_leader = self._gauge("is_leader", "1 where this host leads.", "log")
        self._revision = self._gauge(
            "records_revision", "Newest revision of the records in force here."
        )
        self._evacuated = self._gauge("zone_evacuated", "1 while the zone is evacuated.")
        self._evacuated_runs = self._gauge(
            "evacuated_zone_running", "Requests with an active attempt in the evacuated zone."
        )

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
        """Count a refusal; `reason` is that of the problem details in the reply."""
        self._refusals.labels(reason).inc()

    def retried(self, reason: str) -> None:
        """Count a call or an attempt that is retried."""
        self._retries.labels(reason).inc()

    def started(self, job_class: str, waited_ms: int) -> None:
        """Observe how long a request waited for its start."""
        self._waiting.labels(job_class).observe(waited_ms / MS_PER_S)

    def ended(self, state: str, job_class: str, took_ms: int) -> None:
        """Count the end of a request and observe the time since its acceptance."""
        self._ended.labels(state).inc()
        self._completion.labels(job_class).observe(took_ms / MS_PER_S)

    def cancelled(self, stage: str) -> None:
        """Count a cancelled request by the stage that it had reached, for example placed."""
        self._cancelled.labels(stage).inc()

    def preempted(self, job_class: str) -> None:
        """Count an attempt that was preempted."""
        self._preempted.labels(job_class).inc()

    def caller_hung_up(self, cancelled: bool) -> None:
        """Count a caller that hung up before the reply, and whether that cancelled its request."""
        self._hangups.labels("yes" if cancelled else "no").inc()

    def answered_http(self, port: str, status: int, took_ms: float) -> None:
        """Observe the time until the reply to an HTTP call, by port and status."""
        self._http.labels(port, str(status)).observe(took_ms / MS_PER_S)

    def late_answer(self, reason: str) -> None:
        """Count an answer of an attempt or lease that is already over."""
        self._late.labels(reason).inc()

    def broken_answer(self, reason: str) -> None:
        """Count a worker's answer that failed the check of its length, digest or format.

        `reason` is the call that it belongs to, for example start; a poll has the label look.
        """
        self._broken.labels(reason).inc()

    def silent_connection(self, hop: str) -> None:
        """Count a connection that was closed because no reply came in time.

        `hop` is the other side: a worker, or another host as a peer.
        """
        self._silent.labels(hop).inc()

    def announced(self, outcome: str) -> None:
        """Count an announcement of a worker by its outcome."""
        self._announcements.labels(outcome).inc()

    def quarantined(self, lifted: bool) -> None:
        """Count a worker that was quarantined, or whose quarantine was lifted."""
        self._quarantines.labels("lifted" if lifted else "imposed").inc()

    def set_workers(self, state: str, count: int) -> None:
        """Set how many workers of the zone are in a state."""
        self._workers.labels(state).set(count)

    def set_queued(self, job_class: str, count: int) -> None:
        """Set how many requests of a class wait."""
        self._queued.labels(job_class).set(count)

    def set_running(self, job_class: str, count: int) -> None:
        """Set how many requests of a class have an active attempt."""
        self._running.labels(job_class).set(count)

    def proposed(self, log: str, outcome: str) -> None:
        """Count a command proposed to a replicated log by its outcome."""
        self._proposals.labels(log, outcome).inc()

    def leader_changed(self, log: str, leads: bool) -> None:
        """Count a change of the leader of a log, and set whether this host leads now."""
        self._leader_changes.labels(log).inc()
        self._is_leader.labels(log).set(1 if leads else 0)

    def set_revision(self, revision: int) -> None:
        """Set the newest revision of the records that is in force on this host."""
        self._revision.set(revision)

    def set_evacuated(self, evacuated: bool, running: int) -> None:
        """Set whether the zone is evacuated, and how many requests still run there if it is."""
        self._evacuated.set(1 if evacuated else 0)
        self._evacuated_runs.set(running)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
