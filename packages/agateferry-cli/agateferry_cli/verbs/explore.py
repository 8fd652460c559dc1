"""`agateferry explore`: play drawn days of the whole system in virtual time."""

import os
from collections import Counter
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from agateferry_cli.client import ExitCode, Failure
from agateferry_cli.output import Output

if TYPE_CHECKING:
    from agateferry_platform.exploration.search import PlayedDay

NO_PLATFORM = "the users' platform is not installed beside this command"
NO_PLATFORM_ADVICE = "Run it in the repository, with its folder `platform` on PYTHONPATH."


def explore(
    *,
    days: int = 20,
    seed: int = 1,
    faults: str = "",
    jobs: int = 1,
    json: bool = False,
    replay: int | None = None,
) -> int:
    """Play drawn days and tell which of the users' rules they broke; exit with 1 if there is one.

    :param days: how many days to play; their seeds are SEED, SEED + 1 and so on
    :param seed: the seed of the first day
    :param faults: the kinds of faults to draw, such as kill,cut; without it all kinds
    :param jobs: how many days to play at a time
    :param json: print the result as JSON
    :param replay: print what callers and workers saw in the day of this seed, and play no others
    """
    output = Output(json)
    return _explore(days, seed, faults, jobs, replay, output).default_with(output.failure)


def _explore(
    days: int, seed: int, faults: str, jobs: int, replay: int | None, output: Output
) -> Result[ExitCode, Failure]:
    try:
        # Imported here because it would slow the start of every other verb.
        from agateferry_platform.exploration.faults import FaultKind
    except ModuleNotFoundError:
        return Error(Failure(ExitCode.USAGE, NO_PLATFORM, NO_PLATFORM_ADVICE))
    names = [name.strip() for name in faults.split(",") if name.strip()]
    known = [kind.value for kind in FaultKind]
    if unknown := [name for name in names if name not in known]:
        advice = f"The kinds are {', '.join(known)}."
        return Error(Failure(ExitCode.USAGE, f"no kind of fault: {', '.join(unknown)}", advice))
    cores = os.cpu_count() or 1
    if days < 1 or not 1 <= jobs <= cores:
        advice = f"--days is 1 or more, --jobs 1 to {cores}."
        return Error(Failure(ExitCode.USAGE, f"--days {days} --jobs {jobs}", advice))
    kinds = [FaultKind(name) for name in names or known]
    if replay is not None:
        return Ok(_replay(replay, kinds, output))
    from agateferry_platform.exploration.search import explore as play_days

    played = []
    for day in play_days(range(seed, seed + days), kinds, jobs):
        played.append(day)
        if day.violations:
            output.note(_describe(day))
    return Ok(_summarize(played, output))


def _describe(day: "PlayedDay") -> str:
    rules = ", ".join(f"{each.rule} at {each.at_ms} ms ({each.detail})" for each in day.violations)
    faults = ", ".join(
        f"{each.kind.value} {' '.join(each.ips)} {each.from_ms} to {each.until_ms} ms"
        for each in day.faults
    )
    return f"seed {day.seed}: {rules}; faults: {faults or 'none'}"


def _summarize(played: "list[PlayedDay]", output: Output) -> ExitCode:
    broken = [day for day in played if day.violations]
    by_rule = Counter(rule for day in broken for rule in {each.rule for each in day.violations})
    by_kind = Counter(kind for day in played for kind in {each.kind.value for each in day.faults})
    if output.as_json:
        output.json(
            {
                "days": len(played),
                "days_by_fault": by_kind,
                "broken_rules": by_rule,
                "broken": [asdict(day) for day in broken],
            }
        )
    else:
        rows: list[tuple[Any, ...]] = [("days played", len(played)), ("days broken", len(broken))]
        rows += [(f"days with {kind}", count) for kind, count in sorted(by_kind.items())]
        rows += [(f"days that broke {rule}", count) for rule, count in sorted(by_rule.items())]
        output.table(("", "count"), rows, "Nothing was played.")
    return ExitCode.REQUEST_FAILED if broken else ExitCode.OK


def _replay(seed: int, kinds: list[Any], output: Output) -> ExitCode:
    from agateferry_core.logs import configure
    from agateferry_platform.exploration.day import draw_plan, play

    configure("ERROR")
    verdict = play(seed, draw_plan(seed, kinds))
    if output.as_json:
        output.json(
            {
                "seed": seed,
                "digest": verdict.digest,
                "observations": [str(each) for each in verdict.observations],
                "violations": [asdict(each) for each in verdict.violations],
            }
        )
    else:
        rows = [_row(each) for each in verdict.observations]
        output.table(("ms", "seen by", "what", "job or subtask", "details"), rows, "Nothing.")
        for each in verdict.violations:
            output.line(f"{each.rule} at {each.at_ms} ms: {each.detail}")
        output.line(f"digest {verdict.digest}")
    return ExitCode.REQUEST_FAILED if verdict.violations else ExitCode.OK


def _row(seen: Any) -> tuple[Any, ...]:
    hidden = ("manifest", "spec", "steps")
    shown = [f"{name}={value}" for name, value in seen.details if name not in hidden]
    return seen.at_ms, seen.seen_by, seen.kind, seen.job, " ".join(shown)
