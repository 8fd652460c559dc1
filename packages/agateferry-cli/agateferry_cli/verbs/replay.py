"""`agateferry replay`: replay a recorded trace through the scheduler's core."""

import importlib
from pathlib import Path
from types import ModuleType

from expression import Error, Ok, Result

from agateferry_cli.client import ExitCode, Failure
from agateferry_cli.output import Output

TRACES = "agateferry_scheduling.traces"
ENTRY = "replay_file"


def replay(trace: Path, *, json: bool = False) -> int:
    """Replay a recorded trace and show what came of it.

    :param trace: file of JSON lines that a daemon recorded or that was written by hand
    :param json: print the report as JSON
    """
    output = Output(json)
    return _replay(trace, output).default_with(output.failure)


def _replay(trace: Path, output: Output) -> Result[ExitCode, Failure]:
    if not trace.is_file():
        advice = "Name a trace; recording.trace_file in the settings records one."
        return Error(Failure(ExitCode.USAGE, f"{trace} is not a file", advice))
    module = _module()
    if module is None:
        advice = "Install a version of agateferry-scheduling that can replay."
        return Error(Failure(ExitCode.USAGE, f"{TRACES}.{ENTRY} is not there", advice))
    report = getattr(module, ENTRY)(trace)
    output.json(report)
    return Ok(ExitCode.OK)


def _module() -> ModuleType | None:
    try:
        module = importlib.import_module(TRACES)
    except ModuleNotFoundError:
        return None
    return module if hasattr(module, ENTRY) else None
