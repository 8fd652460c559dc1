"""`agateferry check-config`: check the settings files of hosts before they are used."""

from pathlib import Path

from agateferry_cli.client import ExitCode, Failure
from agateferry_cli.output import Output
from agateferry_service.settings import Problem, Settings, load_settings


def check_config(*files: Path, json: bool = False) -> int:
    """Check settings files of agateferryd, also that their peers agree.

    :param files: settings files; the same [[peers]] belong in those of all hosts
    :param json: print the result as JSON
    """
    output = Output(json)
    if not files:
        return output.failure(Failure(ExitCode.USAGE, "no settings file is named"))
    good: dict[Path, Settings] = {}
    problems: list[Problem] = []
    for file in files:
        result = load_settings(file)
        if result.is_ok():
            good[file] = result.ok
        else:
            problems.extend(result.error.problems)
    problems.extend(_disagreements(good))
    _show(output, good, problems)
    return ExitCode.USAGE if problems else ExitCode.OK


def _disagreements(good: dict[Path, Settings]) -> list[Problem]:
    if not good:
        return []
    first, settings = next(iter(good.items()))
    return [
        Problem(file, "peers", "", f"differ from those in {first}; all hosts need the same list")
        for file, other in good.items()
        if other.peers != settings.peers
    ]


def _show(output: Output, good: dict[Path, Settings], problems: list[Problem]) -> None:
    warnings = [warning for settings in good.values() for warning in settings.warnings]
    if output.as_json:
        found = [
            {"file": str(one.file), "key": one.key, "value": one.value, "allowed": one.allowed}
            for one in problems
        ]
        output.json({"valid": not problems, "problems": found, "warnings": warnings})
        return
    for warning in warnings:
        output.line(f"warning: {warning}")
    for problem in problems:
        output.line(str(problem))
    if not problems:
        output.line(f"{len(good)} settings file(s) are valid.")
