"""Measure the fair policy against the baseline and print a row for each figure.

`python -m agateferry_scheduling.measure [FOLDER]` prints rows of the form
`measure TRACE METRIC ours=X baseline=Y target=Z unit`, then how the time of a step grows, and puts
one picture into FOLDER, docs/img by default.
"""

import sys
from pathlib import Path

from agateferry_scheduling.scheduler.messages import PolicyWeights
from agateferry_scheduling.traces.drawing import draw
from agateferry_scheduling.traces.growth import measure_steps
from agateferry_scheduling.traces.makers import BOARD, MAKERS, SALT
from agateferry_scheduling.traces.outcomes import (
    Comparison,
    compare,
    faults,
    read_outcomes,
    samples,
)
from agateferry_scheduling.traces.replay import Policy, replay
from agateferry_scheduling.traces.report import Report

SIZES = (1, 2, 4, 8)
STEPS = 6_000
STEP_P99_TARGET_US = 5_000
SEEDS = (1, 2, 3)
LOADS = (1.0, 1.6)
PICTURED = "small-burst"


def main() -> None:
    """Print all rows and draw the picture."""
    folder = Path(sys.argv[1] if len(sys.argv) > 1 else "docs/img")
    for trace in samples():
        _measure_trace(trace, folder)
    for load in LOADS:
        _measure_weights("board-day", BOARD.weights, SALT.weights, load)
        _measure_weights("salt-day", SALT.weights, BOARD.weights, load)
    for size in SIZES:
        _measure_growth(size)


def row_of(trace: str, row: Comparison) -> str:
    """Return the printed form of a comparison, and whether it misses its target."""
    text = f"measure {trace} {row.metric} ours={row.ours:g} baseline={row.baseline:g}"
    verdict = "" if row.is_met() else " MISSED"
    return f"{text} target={row.target:g} {row.unit}{verdict}"


def _measure_trace(trace: Path, folder: Path) -> None:
    ours = replay(trace, Policy.FAIR)
    baseline = replay(trace, Policy.BASELINE)
    outcomes = read_outcomes(trace)
    for row in compare(outcomes, ours, baseline):
        _show(row_of(trace.stem, row))
    for line in _others(ours, baseline):
        _show(line)
    for fault in faults(outcomes, ours):
        _show(f"fault {trace.stem} {fault}")
    if trace.stem == PICTURED:
        folder.mkdir(parents=True, exist_ok=True)
        drawn = draw(ours, folder / f"{PICTURED}.svg", baseline)
        if drawn.is_error():
            _show(f"no picture: {drawn.error}")


def _others(ours: Report, baseline: Report) -> list[str]:
    """Return the rows that have no target."""
    rows = [
        ("fragmentation-all", ours.fragmentation_pct, baseline.fragmentation_pct, "%"),
        ("small-urgent-p99-all", ours.small_urgent.p99_ms, baseline.small_urgent.p99_ms, "ms"),
        ("reclaim-longest", ours.reclaim_longest_ms, baseline.reclaim_longest_ms, "ms"),
        ("urgent-late-all", ours.urgent_late, baseline.urgent_late, "count"),
        ("mean-slowdown", ours.mean_slowdown, baseline.mean_slowdown, "ratio"),
    ]
    for urgency, spread in ours.completion.items():
        theirs = baseline.completion[urgency]
        rows += [
            (f"completion-{urgency}-p50", spread.median_ms, theirs.median_ms, "ms"),
            (f"completion-{urgency}-p95", spread.p95_ms, theirs.p95_ms, "ms"),
            (f"completion-{urgency}-p99", spread.p99_ms, theirs.p99_ms, "ms"),
        ]
    return [
        f"measure {ours.trace} {name} ours={mine:g} baseline={theirs:g} target=none {unit}"
        for name, mine, theirs, unit in rows
    ]


def _measure_weights(name: str, own: PolicyWeights, other: PolicyWeights, load: float) -> None:
    """Compare a deployment's score under its own weights with that under the other's."""
    ours, theirs, base = 0.0, 0.0, 0.0
    for seed in SEEDS:
        records = MAKERS[name](seed, load)
        scores = [
            replay(records, policy, weights).score(own.completion_time, own.fragmentation)
            for policy, weights in (
                (Policy.FAIR, own),
                (Policy.FAIR, other),
                (Policy.BASELINE, own),
            )
        ]
        ours += scores[0] / len(SEEDS)
        theirs += scores[1] / len(SEEDS)
        base += scores[2] / len(SEEDS)
    row = Comparison(f"score-load-{load:g}", ours, base, theirs, "score")
    _show(row_of(name, row))


def _measure_growth(size: int) -> None:
    times = measure_steps(size, STEPS)
    row = f"measure growth-{size}x step-p99 ours={times.p99_us} baseline=none"
    target = str(STEP_P99_TARGET_US) if size == 1 else "none"
    missed = " MISSED" if size == 1 and times.p99_us > STEP_P99_TARGET_US else ""
    detail = f"workers={times.workers} running={times.running} median={times.median_us}"
    detail += f" worst={times.worst_us} p99-cpu={times.p99_cpu_us}"
    _show(f"{row} target={target} us {detail}{missed}")


def _show(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
