"""Counters and histograms of jobs, runs and calls; each reason has its own label."""

from prometheus_client import Counter, Histogram

START_BUCKETS_S = (0.02, 0.05, 0.1, 0.3, 1.0, 3.6, 10.0, 30.0)
CALL_BUCKETS_S = (0.002, 0.005, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)

REPLIES = Counter("agateferry_jobs_replies", "Replies of the leader.", ["ask", "reply"])
CALL_RETRIES = Counter("agateferry_jobs_ask_retries", "Calls to the leader made again.", ["reason"])
CALL_SECONDS = Histogram(
    "agateferry_jobs_ask_seconds", "From a call to its reply.", buckets=CALL_BUCKETS_S
)
REFUSALS = Counter("agateferry_jobs_refusals", "Calls refused without effect.", ["reason"])
ACCEPTED = Counter("agateferry_jobs_accepted", "Jobs stored.", ["priority"])
ENDED = Counter("agateferry_jobs_ended", "Jobs that reached their end.", ["state"])
FIRST_START_SECONDS = Histogram(
    "agateferry_jobs_first_start_seconds",
    "From a job's acceptance to its first start.",
    ["priority"],
    buckets=START_BUCKETS_S,
)
RUNS_ENDED = Counter("agateferry_jobs_runs_ended", "Runs by how they ended.", ["how"])
RUNS_STOPPED = Counter("agateferry_jobs_runs_stopped", "Runs stopped, by why.", ["reason"])
STARTS_UNCLEAR = Counter(
    "agateferry_jobs_starts_unclear", "Starts rejected or without a clear answer.", ["reason"]
)
POLLS = Counter("agateferry_jobs_looks", "Looks at workers, by outcome.", ["outcome"])
