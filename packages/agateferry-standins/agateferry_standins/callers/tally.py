"""The results of a run, counted by the callers and workers independently of the system."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from agateferry_standins.callers.messages import RequestOutcome, RequestRecord
from agateferry_standins.worker import StartLog

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
RUN_OUTCOMES = frozenset({RequestOutcome.FINISHED})


@dataclass(slots=True)
class Tally:
    """What the callers saw in a run.

    `refused` and `retried` count replies by reason; `mismatches` describes wrong answers;
    `latency_us` has a histogram of completion times in microseconds for each urgency.
    """

    records: list[RequestRecord] = field(default_factory=list)
    refused: Counter[str] = field(default_factory=Counter)
    retried: Counter[str] = field(default_factory=Counter)
    mismatches: list[str] = field(default_factory=list)
    latency_us: dict[str, HdrHistogram] = field(default_factory=dict)

    def record_latency(self, urgency: str, value_us: int) -> None:
        """Record the time from the first submission of a request to its answer."""
        histogram = self.latency_us.get(urgency)
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self.latency_us[urgency] = histogram
        histogram.record_value(max(MIN_LATENCY_US, value_us))

    def accepted_count(self) -> int:
        """Return the number of requests of which a reply showed that they are stored."""
        return sum(1 for record in self.records if record.accepted)

    def answered_count(self) -> int:
        """Return the number of accepted requests that got a final answer."""
        return sum(
            1 for r in self.records if r.accepted and r.outcome not in (None, RequestOutcome.LOST)
        )

    def lost_requests(self) -> list[RequestRecord]:
        """Return the requests without a final answer, whether known to be accepted or not."""
        return [record for record in self.records if record.outcome in (None, RequestOutcome.LOST)]

    def outcome_counts(self) -> Counter[str]:
        """Return the number of requests by outcome."""
        return Counter(str(record.outcome) for record in self.records)

    def find_run_mismatches(self, log: StartLog) -> list[str]:
        """Compare the runs that the system reported with those that the workers logged.

        An answer with `not-run` must have no start, and a finished request must have at least one
        for each member. Return a description of each difference.
        """
        starts: Counter[str] = Counter()
        for (_, key, _), _count in log.starts.items():
            starts[key] += 1
        mismatches = []
        for record in self.records:
            started = starts[record.key]
            if record.answer.get("run") == "not-run" and started:
                mismatches.append(
                    f"{record.key} was answered not-run but started on {started} workers"
                )
            if record.outcome in RUN_OUTCOMES and started < record.kind.members:
                mismatches.append(f"{record.key} finished with {started} members started")
        return mismatches


@dataclass(frozen=True, slots=True)
class RunSummary:
    """The counts of a run that its last line of output shows."""

    accepted: int
    answered: int
    lost: int
    duplicated: int
    wrong: int
    partial_gangs: int

    @staticmethod
    def from_tally(tally: Tally, log: StartLog) -> "RunSummary":
        """Count a run; only tasks of jobs that are not idempotent count as duplicated."""
        run_once_jobs = frozenset(r.kind.job for r in tally.records if not r.kind.idempotent)
        return RunSummary(
            accepted=tally.accepted_count(),
            answered=tally.answered_count(),
            lost=len(tally.lost_requests()),
            duplicated=len(log.duplicated_tasks(run_once_jobs)),
            wrong=len(tally.mismatches) + len(tally.find_run_mismatches(log)),
            partial_gangs=len(log.partial_gangs()),
        )

    def __add__(self, other: "RunSummary") -> "RunSummary":
        """Return the sum of the counts of two runs."""
        return RunSummary(
            self.accepted + other.accepted,
            self.answered + other.answered,
            self.lost + other.lost,
            self.duplicated + other.duplicated,
            self.wrong + other.wrong,
            self.partial_gangs + other.partial_gangs,
        )

    def __str__(self) -> str:
        """Return the counts as they stand in the last line of a program's output."""
        return (
            f"accepted={self.accepted} answered={self.answered} lost={self.lost} "
            f"duplicated={self.duplicated} wrong={self.wrong} partial_gangs={self.partial_gangs}"
        )

    @property
    def is_clean(self) -> bool:
        """Return whether every accepted request got its own answer and the error counts are 0."""
        error_count = self.lost + self.duplicated + self.wrong + self.partial_gangs
        return self.accepted == self.answered and error_count == 0
