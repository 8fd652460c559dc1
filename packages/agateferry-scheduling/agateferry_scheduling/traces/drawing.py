"""Draw a replay: utilization, free racks and waiting requests over time."""

from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from agateferry_core.demand import Urgency
from agateferry_scheduling.traces.report import Report

MS_PER_HOUR = 3_600_000
INCHES = (9.0, 7.0)


def draw(report: Report, path: Path, compared: Report | None = None) -> Result[Path, str]:
    """Write a picture as SVG or PNG, by the suffix of its path, and return the path.

    The report `compared`, if any, is drawn with dashed lines. The error says what to install where
    matplotlib is missing, or why the file could not be written.
    """
    try:
        from matplotlib import pyplot
    except ImportError:
        return Error("pictures need matplotlib: install it with `pip install matplotlib`")
    pyplot.rcParams["svg.hashsalt"] = "agateferry"
    figure, axes = pyplot.subplots(3, 1, sharex=True, figsize=INCHES)
    _plot(axes, report, "-")
    if compared is not None:
        _plot(axes, compared, "--")
    _set_labels(axes, report.trace)
    figure.tight_layout()
    is_svg = path.suffix == ".svg"
    try:
        figure.savefig(path, metadata={"Date": None} if is_svg else None)
    except (OSError, ValueError) as exc:
        return Error(f"cannot write {path}: {exc}")
    finally:
        pyplot.close(figure)
    return Ok(path)


def _plot(axes: Any, report: Report, style: str) -> None:
    hours = [sample.at_ms / MS_PER_HOUR for sample in report.samples]
    used = [
        100.0 * sample.accelerators_used / max(sample.accelerators, 1) for sample in report.samples
    ]
    axes[0].plot(hours, used, style, label=report.policy)
    racks = [sample.free_racks for sample in report.samples]
    axes[1].step(hours, racks, linestyle=style, where="post", label=report.policy)
    for urgency in Urgency:
        waiting = [sample.waiting.get(urgency, 0) for sample in report.samples]
        axes[2].plot(hours, waiting, style, label=f"{urgency} {report.policy}")


def _set_labels(axes: Any, title: str) -> None:
    axes[0].set_title(title)
    axes[0].set_ylabel("accelerators used, %")
    axes[1].set_ylabel("racks wholly free")
    axes[2].set_ylabel("requests waiting")
    axes[2].set_xlabel("time, hours")
    for axis in axes:
        axis.legend(fontsize="small")
