"""`agateferry replay`: replay a recorded trace through a scheduler in virtual time."""

from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Literal

from expression import Error, Ok, Result

from agateferry_cli.client import ExitCode, Failure
from agateferry_cli.output import Output

if TYPE_CHECKING:
    from agateferry_scheduling.traces.report import Report

SAMPLES_FIELD = "samples"


def replay(
    trace: Path,
    *,
    policy: Literal["fair", "baseline"] = "fair",
    json: bool = False,
) -> int:
    """Replay a recorded trace and show what was measured; exit with 1 if an invariant broke.

    :param trace: file of JSON lines that a daemon recorded or that was written by hand
    :param policy: scheduler that replays it
    :param json: print the report as JSON
    """
    output = Output(json)
    return _replay(trace, policy, output).default_with(output.failure)


def _replay(trace: Path, policy: str, output: Output) -> Result[ExitCode, Failure]:
    if not trace.is_file():
        advice = "Name a trace; a host records one where its settings have recording.trace_file."
        return Error(Failure(ExitCode.USAGE, f"{trace} is not a file", advice))
    if trace.stat().st_size == 0:
        return Error(Failure(ExitCode.USAGE, f"{trace} holds no records", "Name another trace."))
    # Imported here because it would slow the start of every other verb.
    from agateferry_scheduling.traces.replay import Policy
    from agateferry_scheduling.traces.replay import replay as replay_trace

    try:
        report = replay_trace(trace, Policy(policy))
    except ValueError as exc:
        advice = "Correct the line, or record the trace again."
        return Error(Failure(ExitCode.USAGE, f"{trace} is not a trace: {exc}", advice))
    return Ok(_show(report, output))


def _show(report: "Report", output: Output) -> ExitCode:
    if output.as_json:
        document = asdict(report)
        document.pop(SAMPLES_FIELD, None)
        output.json(document)
    else:
        output.table((report.trace, report.policy), report.rows(), "Nothing was measured.")
    return ExitCode.REQUEST_FAILED if report.broken else ExitCode.OK
