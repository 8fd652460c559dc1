"""What the demo and the soak tell of a run besides their closing line."""

import sys

from agateferry_core.logs import configure
from agateferry_standins.callers import Tally
from agateferry_standins.worker import StartLog

SHOWN = 10
PERCENTILES = (50.0, 95.0, 99.0)
US_PER_MS = 1000


def say(text: str) -> None:
    """Write a line of progress for people."""
    print(text, file=sys.stderr, flush=True)


def quiet_logs() -> None:
    """Write warnings alone; in a run with kills, failed announcements are no news."""
    configure("warning", as_json=False)


def tell_run(name: str, tally: Tally, log: StartLog) -> None:
    """Write the ends, refusals, retries and completion times of a run, and what went wrong."""
    say(f"{name}: ends {dict(tally.outcome_counts())}")
    say(f"{name}: refused {dict(tally.refused)}, retried {dict(tally.retried)}")
    say(f"{name}: seen by workers {dict(log.violations)}")
    for urgency, histogram in sorted(tally.latency_us.items()):
        times = [histogram.get_value_at_percentile(p) / US_PER_MS for p in PERCENTILES]
        say(f"{name}: {urgency} median {times[0]} ms, 95% {times[1]} ms, 99% {times[2]} ms")
    troubles = [
        f"lost: {r.key} {r.kind.job} {r.request_id} {r.detail}" for r in tally.lost_requests()
    ]
    troubles += [f"wrong: {what}" for what in [*tally.mismatches, *tally.find_run_mismatches(log)]]
    once = frozenset(r.kind.job for r in tally.records if not r.kind.idempotent)
    troubles += [f"duplicated: {task}" for task in log.duplicated_tasks(once)]
    troubles += [f"partial gang: {attempt}" for attempt in log.partial_gangs()]
    for trouble in troubles[:SHOWN]:
        say(f"{name}: {trouble}")
