"""Compare the fair policy with the baseline and print a row for each figure.

`python -m agateferry_scheduling.measure [FOLDER]` prints rows of the form
`measure TRACE METRIC ours=X baseline=Y target=Z unit`, then the time of a step and the
memory of a scheduler by zone size, and writes one picture to FOLDER, docs/img by default.
"""

import sys
from pathlib import Path

from agateferry_scheduling.scheduler.messages import PolicyWeights
from agateferry_scheduling.traces.drawing import draw
from agateferry_scheduling.traces.growth import measure_memory, measure_steps
from agateferry_scheduling.traces.makers import BOARD, MAKERS, SALT
from agateferry_scheduling.traces.outcomes import (
    Comparison,
    compare,
    find_deviations,
    read_outcomes,
    samples,
)
from agateferry_scheduling.traces.replay import Policy, replay
from agateferry_scheduling.traces.report import Report

ZONE_SIZES = (1, 2, 4, 8)
STEPS = 6_000
STEP_P99_TARGET_US = 5_000
SEEDS = (11, 12, 13, 14)
LOADS = (1.0, 1.6)
PICTURED_TRACE = "small-burst"


def main() -> None:
    """Print all rows and write the picture."""
    folder = Path(sys.argv[1] if len(sys.argv) > 1 else "docs/img")
    for trace in samples():
        _measure_trace(trace, folder)
    for load in LOADS:
        _measure_weights("board-day", BOARD.weights, SALT.weights, load)
        _measure_weights("salt-day", SALT.weights, BOARD.weights, load)
    for size in ZONE_SIZES:
        _measure_growth(size)
    for size in ZONE_SIZES[:3]:
        used_kb = measure_memory(size) // 1_000
        _print_line(f"measure memory-{size}x state ours={used_kb} baseline=none target=none kB")


def format_row(trace: str, row: Comparison) -> str:
    """Return the printed row of a comparison, marked if it misses its target."""
    text = f"measure {trace} {row.metric} ours={row.ours:g} baseline={row.baseline:g}"
    verdict = "" if row.is_met() else " MISSED"
    return f"{text} target={row.target:g} {row.unit}{verdict}"


def _measure_trace(trace: Path, folder: Path) -> None:
    ours = replay(trace, Policy.FAIR)
    baseline = replay(trace, Policy.BASELINE)
    outcomes = read_outcomes(trace)
    for row in compare(outcomes, ours, baseline):
        _print_line(format_row(trace.stem, row))
    for line in _rows_without_target(ours, baseline):
        _print_line(line)
    for deviation in find_deviations(outcomes, ours):
        _print_line(f"fault {trace.stem} {deviation}")
    if trace.stem == PICTURED_TRACE:
        folder.mkdir(parents=True, exist_ok=True)
        drawing = draw(ours, folder / f"{PICTURED_TRACE}.svg", baseline)
        if drawing.is_error():
            _print_line(f"no picture: {drawing.error}")


def _rows_without_target(ours: Report, baseline: Report) -> list[str]:
    """Return the rows of the figures that have no target."""
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
    """Compare a deployment's score under its own policy weights with that under the other's."""
    ours, theirs, baseline_score = 0.0, 0.0, 0.0
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
        baseline_score += scores[2] / len(SEEDS)
    row = Comparison(f"score-load-{load:g}", ours, baseline_score, theirs, "score")
    _print_line(format_row(name, row))


def _measure_growth(size: int) -> None:
    times = measure_steps(size, STEPS)
    row = f"measure growth-{size}x step-p99 ours={times.p99_us} baseline=none"
    target = str(STEP_P99_TARGET_US) if size == 1 else "none"
    missed = " MISSED" if size == 1 and times.p99_us > STEP_P99_TARGET_US else ""
    detail = f"workers={times.workers} running={times.running} median={times.median_us}"
    detail += f" worst={times.worst_us} p99-cpu={times.p99_cpu_us} mean-cpu={times.mean_cpu_us}"
    _print_line(f"{row} target={target} us {detail}{missed}")


def _print_line(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
