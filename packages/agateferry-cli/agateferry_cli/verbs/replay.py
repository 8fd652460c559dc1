"""`agateferry replay`: replay a recorded trace through the scheduler's core."""

from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Literal

from expression import Error, Ok, Result

from agateferry_cli.client import ExitCode, Failure
from agateferry_cli.output import Output

if TYPE_CHECKING:
    from agateferry_scheduling.traces.report import Report

SAMPLES = "samples"


def replay(
    trace: Path,
    *,
    policy: Literal["fair", "baseline"] = "fair",
    json: bool = False,
) -> int:
    """Replay a recorded trace and show what was measured; a broken invariant exits with 1.

    :param trace: file of JSON lines that a daemon recorded or that was written by hand
    :param policy: scheduler to replay it with
    :param json: print the report as JSON
    """
    output = Output(json)
    return _replay(trace, policy, output).default_with(output.failure)


def _replay(trace: Path, policy: str, output: Output) -> Result[ExitCode, Failure]:
    if not trace.is_file():
        advice = "Name a trace; recording.trace_file in the settings records one."
        return Error(Failure(ExitCode.USAGE, f"{trace} is not a file", advice))
    if trace.stat().st_size == 0:
        return Error(Failure(ExitCode.USAGE, f"{trace} holds no records", "Name another trace."))
    # Imported here because it would slow the start of every other verb.
    from agateferry_scheduling.traces.replay import Policy
    from agateferry_scheduling.traces.replay import replay as replay_trace

    try:
        report = replay_trace(trace, Policy(policy))
    except ValueError as exc:
        advice = "Mend the line, or record the trace anew."
        return Error(Failure(ExitCode.USAGE, f"{trace} is not a trace: {exc}", advice))
    return Ok(_show(report, output))


def _show(report: "Report", output: Output) -> ExitCode:
    if output.as_json:
        fields = asdict(report)
        fields.pop(SAMPLES, None)
        output.json(fields)
    else:
        output.table((report.trace, report.policy), report.rows(), "Nothing was measured.")
    return ExitCode.REQUEST_FAILED if report.broken else ExitCode.OK
