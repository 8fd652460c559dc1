"""Counters, gauges and histograms of jobs, runs, calls and zones; each reason is a label value."""

from prometheus_client import Counter, Gauge, Histogram

START_BUCKETS_S = (0.02, 0.05, 0.1, 0.3, 1.0, 3.6, 10.0, 30.0)
URGENT_START_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.0, 2.4, 2.7, 2.9, 3.4, 5.0, 10.0)
CALL_BUCKETS_S = (0.002, 0.005, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)
PACE_BUCKETS = (0.4, 0.6, 0.8, 0.95, 1.05, 1.25, 1.6, 2.5, 5.0)
LOOP_BUCKETS_S = (0.002, 0.005, 0.01, 0.03, 0.1, 0.3, 1.0)

REPLIES = Counter(
    "agateferry_jobs_replies", "Replies of the leader, by kind of call and reply.", ["ask", "reply"]
)
CALL_RETRIES = Counter(
    "agateferry_jobs_ask_retries", "Retries of calls to the leader, by reason.", ["reason"]
)
CALL_SECONDS = Histogram(
    "agateferry_jobs_ask_seconds",
    "Time from a caller's HTTP call to its reply.",
    buckets=CALL_BUCKETS_S,
)
REFUSALS = Counter("agateferry_jobs_refusals", "Calls refused without effect.", ["reason"])
ACCEPTED = Counter("agateferry_jobs_accepted", "Jobs accepted and stored.", ["priority"])
ENDED = Counter("agateferry_jobs_ended", "Jobs completed or failed.", ["state"])
GIVEN_UP = Counter(
    "agateferry_jobs_given_up", "Jobs failed because workers crashed under them.", ["priority"]
)
FIRST_START_SECONDS = Histogram(
    "agateferry_jobs_first_start_seconds",
    "Time from a job's acceptance to the placement of its first run.",
    ["priority"],
    buckets=START_BUCKETS_S,
)
URGENT_START_SECONDS = Histogram(
    "agateferry_jobs_urgent_start_seconds",
    "Time from an urgent job's acceptance until all of its first step has begun, by whether a plan"
    " found it beyond its team's guarantee meanwhile.",
    ["kind"],
    buckets=URGENT_START_BUCKETS_S,
)
PASSED_OVER = Counter(
    "agateferry_jobs_passed_over",
    "Jobs that a plan could not start, by reason; counted once until the reason changes.",
    ["reason"],
)
IDLE_JOBS = Gauge(
    "agateferry_jobs_idle",
    "Jobs that have been idle by choice for 3 s although they fit; 0 unless there is a fault.",
)
COMMANDS_FAILED = Counter(
    "agateferry_jobs_commands_failed",
    "Commands of the ledger that met an unexpected error and were skipped.",
    ["command"],
)
RUNS_ENDED = Counter("agateferry_jobs_runs_ended", "Runs ended, by outcome.", ["how"])
RUNS_LOST = Counter(
    "agateferry_jobs_runs_lost", "Runs whose end is unknown, by what happened to it.", ["cause"]
)
RUNS_STOPPED = Counter("agateferry_jobs_runs_stopped", "Runs stopped, by reason.", ["reason"])
RUNS_LEFT_AT_WORK = Counter(
    "agateferry_jobs_runs_left_at_work",
    "Runs without progress that are not stopped, since several before them were.",
)
STARTS_UNCLEAR = Counter(
    "agateferry_jobs_starts_unclear",
    "Starts of runs that were rejected or whose outcome is unknown.",
    ["reason"],
)
REPORTS_IGNORED = Counter(
    "agateferry_jobs_reports_ignored",
    "Reports of workers that are not used, by what was found at their address or why.",
    ["reason"],
)
POLLS = Counter("agateferry_jobs_looks", "Polls of workers, by outcome.", ["outcome"])
PONGS_DROPPED = Counter(
    "agateferry_jobs_pongs_dropped", "Answers to pings that were dropped, by reason.", ["reason"]
)
ROWS_UNREADABLE = Counter(
    "agateferry_jobs_rows_unreadable", "Rows in workers' lists of runs that could not be read."
)
ZONES_EVACUATED = Gauge(
    "agateferry_jobs_zones_evacuated", "Evacuated zones; 0 on a host that does not lead."
)
RUNS_IN_EVACUATED_ZONES = Gauge(
    "agateferry_jobs_runs_in_evacuated_zones",
    "Runs on workers of evacuated zones; 0 on a host that does not lead.",
)
GUARANTEED_GPUS_MISSING = Gauge(
    "agateferry_jobs_guaranteed_gpus_missing",
    "Accelerators that the teams' guarantees exceed those of ready workers outside evacuated zones"
    " by; 0 on a host that does not lead.",
)
WORKER_PACE = Histogram(
    "agateferry_jobs_worker_pace",
    "Estimated paces of workers when they changed considerably; 1 is usual, 2 is twice as long.",
    buckets=PACE_BUCKETS,
)
PLAN_SECONDS = Histogram(
    "agateferry_jobs_plan_seconds",
    "Time spent on making a plan, without other work between its slices.",
    buckets=LOOP_BUCKETS_S,
)
LOOP_DELAY_SECONDS = Histogram(
    "agateferry_jobs_loop_delay_seconds",
    "How late the event loop of a host of the cell wakes a task, sampled four times a second.",
    buckets=LOOP_BUCKETS_S,
)
