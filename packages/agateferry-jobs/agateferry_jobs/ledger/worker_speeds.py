"""Estimate the pace of each worker from the durations of its runs.

The pace is how many times as long as usual a worker's runs take; it is kept as a natural
logarithm, 0 for a usual one. The logarithm of a run's duration is that of the work of its step plus
the pace of its worker plus noise. The work of a step is known from the runs of other workers in the
same step, less their paces, and from the expected duration of the queue, each with its variance.
Each worker has the sum of such evidence, as in a Kalman filter in information form.

What a step tells about a worker replaces what the same step told before, and is not used for the
reference of that worker itself. So runs of one step that end one after another are not counted as
independent, and the early ends of fast workers are corrected when the slow ones end.

    speeds.record(("w1", 1), "job/0.0", duration_ms=800, reference=Reference(6.2, 0.2), at_ms=900)
    speeds.log_pace(("w1", 1), at_ms=1000)
"""

import math
from collections.abc import Mapping, Sequence
from copy import copy
from statistics import median

from msgspec import Struct, field

from agateferry_jobs.ledger.durations import Reference
from agateferry_jobs.ledger.pace_evidence import (
    BROAD_VARIANCE,
    Belief,
    Work,
    clamp,
    gang_observations,
    kept_share,
    observation,
    robust_works,
    to_belief,
)
from agateferry_jobs.ledger.state import WorkerKey

RunningSteps = Mapping[str, tuple[Reference, Sequence[tuple[WorkerKey, float]]]]
"""By step, its reference and the log durations to expect of the runs on each worker."""

RUN_VARIANCE = 0.15**2
"""The variance of the runs of one step on workers of one pace."""
GROUP_VARIANCE = 0.05**2
"""The variance that remains however many runs of one step a worker ends."""
MAX_STEPS_KEPT = 64
"""How many steps whose runs end are kept at most; the oldest are dropped first."""
SPREAD_INTERVAL_MS = 250
"""How often the spread of the paces is computed at most."""
MIN_WORKERS = 4
"""How many workers must have enough evidence before their paces count as different."""
MIN_SPREAD = 0.25
"""A smaller standard deviation of log paces is not acted upon.

Workers of 0.8 to 1.25 have 0.18; urgent work, which may take 1.5 times as long as its work, is in
time on all of them, and choosing among them only makes for more preemption.
"""
MAX_SPREAD_DEVIATION = math.log(2)
"""How far a worker's log pace counts at most in the spread."""
SIGNIFICANT_DEVIATIONS = 4.0
"""By how many deviations of chance the paces must differ more than their errors explain."""


class WorkerEvidence(Struct, array_like=True):
    """What is known of one incarnation: the sum of evidence as of `at_ms`."""

    born: int
    precision: float = 0.0
    weighted: float = 0.0
    """The sum of log paces, each multiplied by its precision."""
    at_ms: int = 0

    def forget(self, at_ms: int) -> None:
        """Let the evidence lose weight up to a moment."""
        kept = kept_share(self.at_ms, at_ms)
        self.precision *= kept
        self.weighted *= kept
        self.at_ms = max(at_ms, self.at_ms)


class StepRuns(Struct, array_like=True):
    """The done runs of one step on one incarnation, and what they last told about its pace."""

    born: int
    runs: int = 0
    sum_log: float = 0.0
    precision: float = 0.0
    weighted: float = 0.0
    at_ms: int = 0

    @property
    def mean_log(self) -> float:
        """Return the mean log duration."""
        return self.sum_log / self.runs

    @property
    def variance(self) -> float:
        """Return the variance of the mean, for a worker of known pace."""
        return RUN_VARIANCE / self.runs + GROUP_VARIANCE


class StepEvidence(Struct):
    """The done runs of one step by worker, and the log duration that was expected of them."""

    reference: Reference
    workers: dict[str, StepRuns] = field(default_factory=dict)

    def add_run(self, worker: WorkerKey, log_ms: float) -> None:
        """Add a run of an incarnation; the runs of an earlier one are dropped."""
        id, born = worker
        runs = self.workers.get(id)
        if runs is None or runs.born != born:
            runs = self.workers[id] = StepRuns(born)
        runs.runs += 1
        runs.sum_log += log_ms


class WorkerSpeeds(Struct):
    """The evidence on the paces of all workers; the ledger replicates it."""

    workers: dict[str, WorkerEvidence] = field(default_factory=dict)
    steps: dict[str, StepEvidence] = field(default_factory=dict)
    usual: float = 0.0
    """The mean log pace, which counts as usual."""
    spread_variance: float = 0.0
    """The variance of the log paces; 0 unless they differ significantly."""
    spread_at_ms: int = 0

    def record(
        self,
        worker: WorkerKey,
        step_key: str,
        duration_ms: float,
        reference: Reference,
        at_ms: int,
    ) -> None:
        """Record a single run that ended as done; `reference` is what its queue lets expect."""
        if duration_ms <= 0 or self._evidence(worker, at_ms) is None:
            return
        step = self.steps.get(step_key)
        if step is None:
            step = self.steps[step_key] = StepEvidence(reference)
            self._drop_old_steps()
        step.add_run(worker, math.log(duration_ms))
        self._update_step(step, at_ms)
        self._update_spread(at_ms)

    def record_gang(
        self,
        workers: Sequence[WorkerKey],
        duration_ms: float,
        reference: Reference,
        at_ms: int,
    ) -> None:
        """Record a gang that ended as done; it ran at the pace of the slowest of these workers.

        Its duration is an upper bound on the pace of each, and evidence about the slowest.
        """
        evidence = [each for key in dict.fromkeys(workers) if (each := self._evidence(key, at_ms))]
        if duration_ms <= 0 or len(evidence) < len(set(workers)):
            return
        observed = math.log(duration_ms) - reference.mean_log
        variance = reference.variance + RUN_VARIANCE + GROUP_VARIANCE
        beliefs = [to_belief(each.precision, each.weighted) for each in evidence]
        gains = gang_observations(observed, variance, beliefs)
        for each, (precision, weighted) in zip(evidence, gains, strict=True):
            each.precision += precision
            each.weighted += weighted
        self._update_spread(at_ms)

    def log_pace(self, worker: WorkerKey, at_ms: int) -> float:
        """Return the estimated log pace of a worker; 0 if paces do not differ significantly."""
        if not self.spread_variance:
            return 0.0
        evidence = self.workers.get(worker[0])
        if evidence is None or evidence.born != worker[1]:
            return 0.0
        kept = kept_share(evidence.at_ms, at_ms)
        precision = kept * evidence.precision
        deviation = kept * evidence.weighted - precision * self.usual
        return clamp(deviation / (precision + 1 / self.spread_variance))

    def with_running(self, running: RunningSteps, at_ms: int) -> "WorkerSpeeds":
        """Return a copy that also counts runs which have not ended, as if they had.

        `running` has the log duration that the progress of each run lets expect.
        """
        workers = {id: copy(evidence) for id, evidence in self.workers.items()}
        speeds = WorkerSpeeds(workers, usual=self.usual, spread_variance=self.spread_variance)
        for key, (reference, runs) in running.items():
            known = self.steps.get(key) or StepEvidence(reference)
            step = StepEvidence(known.reference, {id: copy(r) for id, r in known.workers.items()})
            for worker, log_ms in runs:
                if speeds._evidence(worker, at_ms) is not None:
                    step.add_run(worker, log_ms)
            speeds._update_step(step, at_ms)
        speeds._update_spread(at_ms)
        return speeds

    def forget_worker(self, id: str) -> None:
        """Discard what is known of a worker that left or was replaced."""
        self.workers.pop(id, None)

    def _evidence(self, worker: WorkerKey, at_ms: int) -> WorkerEvidence | None:
        """Return the evidence on an incarnation as of now; None if a newer one is known."""
        id, born = worker
        evidence = self.workers.get(id)
        if evidence is None or evidence.born < born:
            evidence = self.workers[id] = WorkerEvidence(born, at_ms=at_ms)
        if evidence.born > born:
            return None
        evidence.forget(at_ms)
        return evidence

    def _drop_old_steps(self) -> None:
        while len(self.steps) > MAX_STEPS_KEPT:
            del self.steps[next(iter(self.steps))]

    def _update_step(self, step: StepEvidence, at_ms: int) -> None:
        """Replace what a step told about each of its workers."""
        known = self._without_step(step, at_ms)
        works = [
            Work(runs.mean_log - pace, 1 / (runs.variance + variance))
            for runs, _, (pace, variance) in known
        ]
        works = robust_works(works, step.reference.mean_log)
        precision = 1 / step.reference.variance + sum(each.precision for each in works)
        weighted = step.reference.mean_log / step.reference.variance
        weighted += sum(each.precision * each.mean_log for each in works)
        for (runs, evidence, pace), own in zip(known, works, strict=True):
            others = precision - own.precision
            work = (weighted - own.precision * own.mean_log) / others
            runs.precision, runs.weighted = observation(
                runs.mean_log - work, runs.variance + 1 / others, pace
            )
            runs.at_ms = at_ms
            evidence.precision += runs.precision
            evidence.weighted += runs.weighted

    def _without_step(
        self, step: StepEvidence, at_ms: int
    ) -> list[tuple[StepRuns, WorkerEvidence, Belief]]:
        """Take back what a step told before; return its workers with what is left of each.

        Runs on incarnations that are no longer known are dropped from the step.
        """
        known: list[tuple[StepRuns, WorkerEvidence, Belief]] = []
        for id, runs in list(step.workers.items()):
            evidence = self.workers.get(id)
            if evidence is None or evidence.born != runs.born:
                del step.workers[id]
                continue
            evidence.forget(at_ms)
            kept = kept_share(runs.at_ms, at_ms)
            evidence.precision = max(0.0, evidence.precision - kept * runs.precision)
            evidence.weighted -= kept * runs.weighted
            known.append((runs, evidence, to_belief(evidence.precision, evidence.weighted)))
        return known

    def _update_spread(self, at_ms: int) -> None:
        """Estimate the variance of the paces between workers (DerSimonian and Laird 1986).

        Large deviations from the median are cut off, so that a few workers with faults or false
        reports do not make all paces count as different.
        """
        if at_ms - self.spread_at_ms < SPREAD_INTERVAL_MS:
            return
        self.spread_at_ms = at_ms
        self.spread_variance = 0.0
        found = []
        for evidence in self.workers.values():
            precision = evidence.precision * kept_share(evidence.at_ms, at_ms)
            if precision >= 1 / BROAD_VARIANCE:
                found.append((precision, evidence.weighted / evidence.precision))
        count = len(found)
        if count < MIN_WORKERS:
            return
        total = sum(precision for precision, _ in found)
        total_squared = sum(precision * precision for precision, _ in found)
        center = median(estimate for _, estimate in found)
        cut = [(precision, _cut(estimate - center)) for precision, estimate in found]
        mean = sum(precision * deviation for precision, deviation in cut) / total
        squares = sum(precision * (deviation - mean) ** 2 for precision, deviation in cut)
        self.usual = center + mean
        excess = squares - (count - 1)
        if excess < SIGNIFICANT_DEVIATIONS * math.sqrt(2 * (count - 1)):
            return
        variance = excess / (total - total_squared / total)
        if variance >= MIN_SPREAD**2:
            self.spread_variance = variance


def _cut(deviation: float) -> float:
    return max(-MAX_SPREAD_DEVIATION, min(MAX_SPREAD_DEVIATION, deviation))
