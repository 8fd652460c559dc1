"""The progress and results that the measuring programs print besides their figures."""

import sys

from agateferry_core.logs import configure
from agateferry_standins.callers import Tally
from agateferry_standins.worker import StartLog

MAX_SHOWN_ERRORS = 10
PERCENTILES = (50.0, 95.0, 99.0)
US_PER_MS = 1000


def print_progress(text: str) -> None:
    """Print a line of progress to standard error."""
    print(text, file=sys.stderr, flush=True)


def log_warnings_only() -> None:
    """Log only warnings and errors, because kills make many heartbeats of workers fail."""
    configure("warning", as_json=False)


def report_run(name: str, tally: Tally, log: StartLog) -> None:
    """Print the outcomes, refusals, retries and completion times of a run, and its first errors."""
    print_progress(f"{name}: outcomes {dict(tally.outcome_counts())}")
    print_progress(f"{name}: refused {dict(tally.refused)}, retried {dict(tally.retried)}")
    print_progress(f"{name}: violations at workers {dict(log.violations)}")
    for urgency, histogram in sorted(tally.latency_us.items()):
        times = [histogram.get_value_at_percentile(p) / US_PER_MS for p in PERCENTILES]
        print_progress(
            f"{name}: {urgency} median {times[0]} ms, 95% {times[1]} ms, 99% {times[2]} ms"
        )
    errors = [
        f"lost: {r.key} {r.kind.job} {r.request_id} {r.detail}" for r in tally.lost_requests()
    ]
    errors += [f"wrong: {what}" for what in [*tally.mismatches, *tally.find_run_mismatches(log)]]
    run_once_jobs = frozenset(r.kind.job for r in tally.records if not r.kind.idempotent)
    errors += [f"duplicated: {task}" for task in log.duplicated_tasks(run_once_jobs)]
    errors += [f"partial gang: {attempt}" for attempt in log.partial_gangs()]
    for error in errors[:MAX_SHOWN_ERRORS]:
        print_progress(f"{name}: {error}")
