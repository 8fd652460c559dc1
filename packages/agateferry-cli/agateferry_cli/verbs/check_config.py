"""`agateferry check-config`: check settings files of hosts before they are deployed."""

from pathlib import Path

from agateferry_cli.client import ExitCode, Failure
from agateferry_cli.output import Output
from agateferry_service.settings import Problem, Settings, load_settings


def check_config(*files: Path, json: bool = False) -> int:
    """Check settings files of agateferryd, and that all name the same peers.

    :param files: settings files; all hosts need the same [[peers]]
    :param json: print the result as JSON
    """
    output = Output(json)
    if not files:
        return output.failure(Failure(ExitCode.USAGE, "no settings file is named"))
    valid_settings: dict[Path, Settings] = {}
    problems: list[Problem] = []
    for file in files:
        result = load_settings(file)
        if result.is_ok():
            valid_settings[file] = result.ok
        else:
            problems.extend(result.error.problems)
    problems.extend(_peer_differences(valid_settings))
    _show(output, valid_settings, problems)
    return ExitCode.USAGE if problems else ExitCode.OK


def _peer_differences(valid_settings: dict[Path, Settings]) -> list[Problem]:
    if not valid_settings:
        return []
    first, settings = next(iter(valid_settings.items()))
    return [
        Problem(file, "peers", "", f"differ from those in {first}; all hosts need the same list")
        for file, other in valid_settings.items()
        if other.peers != settings.peers
    ]


def _show(output: Output, valid_settings: dict[Path, Settings], problems: list[Problem]) -> None:
    warnings = [warning for settings in valid_settings.values() for warning in settings.warnings]
    if output.as_json:
        items = [
            {
                "file": str(problem.file),
                "key": problem.key,
                "value": problem.value,
                "allowed": problem.allowed,
            }
            for problem in problems
        ]
        output.json({"valid": not problems, "problems": items, "warnings": warnings})
        return
    for warning in warnings:
        output.line(f"warning: {warning}")
    for problem in problems:
        output.line(str(problem))
    if not problems:
        output.line(f"{len(valid_settings)} settings file(s) are valid.")
