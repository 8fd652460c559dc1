"""Counts over all requests of a run, made by callers and workers and not by the system."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from agateferry_standins.callers.messages import End, RequestRecord
from agateferry_standins.worker import StartLog

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 3
RAN_ENDS = frozenset({End.FINISHED})


@dataclass(slots=True)
class Tally:
    """What the callers saw, and the histogram of completion times by urgency in microseconds."""

    records: list[RequestRecord] = field(default_factory=list)
    refused: Counter[str] = field(default_factory=Counter)
    retried: Counter[str] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)
    latency_us: dict[str, HdrHistogram] = field(default_factory=dict)

    def timed(self, urgency: str, took_us: int) -> None:
        """Add the time from the first submission to the whole answer."""
        histogram = self.latency_us.get(urgency)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self.latency_us[urgency] = histogram
        histogram.record_value(max(LOWEST_US, took_us))

    def accepted(self) -> int:
        """Return how many requests the system said that it had stored."""
        return sum(1 for record in self.records if record.accepted)

    def answered(self) -> int:
        """Return how many accepted requests got their final answer."""
        return sum(1 for r in self.records if r.accepted and r.end not in (None, End.LOST))

    def lost(self) -> list[RequestRecord]:
        """Return the requests that are accepted, or may be, and have no final answer."""
        return [record for record in self.records if record.end in (None, End.LOST)]

    def ends(self) -> Counter[str]:
        """Return how many requests came to which end."""
        return Counter(str(record.end) for record in self.records)

    def check_runs(self, log: StartLog) -> list[str]:
        """Compare what the system said about runs with what the workers saw.

        A refusal or a cancellation that says `not-run` must have no start, and a finished request
        must have one for each member.
        """
        starts: Counter[str] = Counter()
        for (_, key, _), _count in log.starts.items():
            starts[key] += 1
        wrong = []
        for record in self.records:
            seen = starts[record.key]
            if record.answer.get("run") == "not-run" and seen:
                wrong.append(f"{record.key} was told not-run and started on {seen} workers")
            if record.end in RAN_ENDS and seen < record.kind.members:
                wrong.append(f"{record.key} finished with {seen} members started")
        return wrong


@dataclass(frozen=True, slots=True)
class Verdict:
    """The closing counts of a run."""

    accepted: int
    answered: int
    lost: int
    duplicated: int
    wrong: int
    partial_gangs: int

    @staticmethod
    def of(tally: Tally, log: StartLog) -> "Verdict":
        """Count a run; only jobs that are not idempotent can be duplicated."""
        once = frozenset(r.kind.job for r in tally.records if not r.kind.idempotent)
        return Verdict(
            accepted=tally.accepted(),
            answered=tally.answered(),
            lost=len(tally.lost()),
            duplicated=len(log.duplicated_tasks(once)),
            wrong=len(tally.wrong) + len(tally.check_runs(log)),
            partial_gangs=len(log.partial_gangs()),
        )

    def __add__(self, other: "Verdict") -> "Verdict":
        """Return the counts of two runs together."""
        return Verdict(
            self.accepted + other.accepted,
            self.answered + other.answered,
            self.lost + other.lost,
            self.duplicated + other.duplicated,
            self.wrong + other.wrong,
            self.partial_gangs + other.partial_gangs,
        )

    @property
    def clean(self) -> bool:
        """Tell whether everything that was accepted got its own answer, once."""
        bad = self.lost + self.duplicated + self.wrong + self.partial_gangs
        return self.accepted == self.answered and bad == 0
