"""Gaussian beliefs about the logarithm of a worker's pace, and how runs and gangs change them."""

import math
from collections.abc import Sequence
from statistics import median
from typing import NamedTuple

from agateferry_core.clock import MS_PER_S

Belief = tuple[float, float]
"""The mean and the variance of a log pace."""

MAX_WORK_DEVIATIONS = 3.0
"""Work that one worker shows counts less if it is farther from the median of all workers."""
BROAD_VARIANCE = 0.4**2
"""The variance of paces that is assumed as long as they are not known; speeds of 0.6 to 1.6."""
MAX_LOG_PACE = math.log(8)
"""How far from usual a log pace is believed at most, in both directions."""
MAX_DEVIATIONS = 2.0
"""Evidence counts less if it deviates by more standard deviations, so that outliers move little."""
FORGET_MS = 30 * MS_PER_S
"""The time constant with which evidence loses its weight; a worker's speed may change."""


class Work(NamedTuple):
    """The log duration at pace 1 that the runs of one worker show, with its precision."""

    mean_log: float
    precision: float


def robust_works(works: Sequence[Work], expected: float) -> list[Work]:
    """Return the works with less precision for those far from the median of all and `expected`.

    The influence of a worker falls with its distance, so that false reports do not count.
    """
    center = median([expected, *(work.mean_log for work in works)])
    found = []
    for mean_log, precision in works:
        deviation = abs(mean_log - center) * math.sqrt(precision)
        share = min(1.0, MAX_WORK_DEVIATIONS / deviation) if deviation else 1.0
        found.append(Work(mean_log, precision * share * share))
    return found


def kept_share(since_ms: int, at_ms: int) -> float:
    """Return which share of its weight evidence keeps over a time."""
    return math.exp((since_ms - at_ms) / FORGET_MS) if at_ms > since_ms else 1.0


def to_belief(precision: float, weighted: float) -> Belief:
    """Return the mean and the variance of a log pace under the broad prior."""
    total = precision + 1 / BROAD_VARIANCE
    return weighted / total, 1 / total


def observation(observed: float, variance: float, belief: Belief) -> tuple[float, float]:
    """Return the precision and the weighted log pace of an observation (weights of Huber 1964)."""
    pace, pace_variance = belief
    limit = MAX_DEVIATIONS * math.sqrt(variance + pace_variance)
    deviation = abs(observed - pace)
    precision = min(1.0, limit / deviation if deviation else 1.0) / variance
    return precision, precision * clamp(observed)


def gang_observations(
    observed: float, variance: float, beliefs: Sequence[Belief]
) -> list[tuple[float, float]]:
    """Return the precision and the weighted log pace that a gang's duration adds for each member.

    Each member is either the slowest, so that the duration is its own, or the duration is an upper
    bound on its pace. The mean and the variance of this mixture are matched.
    """
    totals = [math.sqrt(variance + own) for _, own in beliefs]
    limits = [
        pace + MAX_DEVIATIONS * total for (pace, _), total in zip(beliefs, totals, strict=True)
    ]
    observed = min(observed, max(limits))
    bounds = [
        _cut_off(max(-MAX_DEVIATIONS, (observed - pace) / total), pace, own, total)
        for (pace, own), total in zip(beliefs, totals, strict=True)
    ]
    odds = [ratio / total for (ratio, _, _), total in zip(bounds, totals, strict=True)]
    gains = []
    for belief, (_, cut_mean, cut_variance), odd in zip(beliefs, bounds, odds, strict=True):
        slowest = odd / sum(odds)
        precision, weighted = observation(observed, variance, belief)
        total = precision + 1 / belief[1]
        exact_mean, exact_variance = (weighted + belief[0] / belief[1]) / total, 1 / total
        mean = slowest * exact_mean + (1 - slowest) * cut_mean
        mixed = slowest * (exact_variance + (exact_mean - mean) ** 2)
        mixed += (1 - slowest) * (cut_variance + (cut_mean - mean) ** 2)
        left = min(mixed, belief[1])
        gains.append((1 / left - 1 / belief[1], mean / left - belief[0] / belief[1]))
    return gains


def _cut_off(
    deviation: float, mean: float, variance: float, total: float
) -> tuple[float, float, float]:
    """Return the hazard, the mean and the variance of a normal distribution below a soft bound."""
    density = math.exp(-deviation * deviation / 2) / math.sqrt(2 * math.pi)
    ratio = density / (0.5 * math.erfc(-deviation / math.sqrt(2)))
    gain = variance / total
    return ratio, mean - gain * ratio, variance - gain * gain * ratio * (deviation + ratio)


def clamp(log_pace: float) -> float:
    """Return a log pace within the limits that any evidence is trusted for."""
    return max(-MAX_LOG_PACE, min(MAX_LOG_PACE, log_pace))
