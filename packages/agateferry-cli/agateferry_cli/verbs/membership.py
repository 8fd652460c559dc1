"""`agateferry cell replace` and `cell recover`: change the members of replicated logs.

Without `--yes`, a change that could lose data is only a dry run: the host replies with what would
happen, and the verb exits with the code for a wrong command line.
"""

from collections.abc import Sequence
from typing import Any, Literal

from expression import Error, Ok, Result

from agateferry_cli.client import Answer, Client, ExitCode, Failure, Port
from agateferry_cli.client.client import Call
from agateferry_cli.client.views import MembershipChangeView, parse_view
from agateferry_cli.output import Output
from agateferry_cli.verbs.run import run_verb

ADDRESS_SEPARATOR = ","
CONFIRM_ADVICE = "Nothing was changed. Read the warnings, then repeat the command with --yes."


def replace(
    action: Literal["admit", "remove"],
    host: str,
    *,
    group: Literal["cell", "records"] = "cell",
    dry_run: bool = False,
    yes: bool = False,
    operators: str = "",
    json: bool = False,
) -> int:
    """Admit a new or a removed host, or remove a host that is permanently lost.

    :param action: admit or remove
    :param host: name of the host
    :param group: cell of the called host's zone, or the records plane
    :param dry_run: show what would happen and change nothing
    :param yes: remove the host, having read the warnings
    :param operators: operators' addresses of entry hosts, IP:PORT with commas between
    :param json: print the answer as JSON
    """
    body = {"group": group, "action": action, "host": host}
    is_confirmed = yes or action == "admit"
    return _change_members(operators, Output(json), "/v1/cell/members", body, dry_run, is_confirmed)


def recover(
    *,
    lost: Sequence[str],
    group: Literal["cell", "records"] = "cell",
    dry_run: bool = False,
    yes: bool = False,
    operators: str,
    json: bool = False,
) -> int:
    """Recover from one host's log after a permanent loss of the quorum; may lose accepted work.

    :param lost: names of all other voters, which are lost or will not be used again
    :param group: cell of the called host's zone, or the records plane
    :param dry_run: show what would happen and change nothing
    :param yes: recover, having read the warnings
    :param operators: operators' address of the one host whose log is kept, IP:PORT
    :param json: print the answer as JSON
    """
    output = Output(json)
    if not operators or ADDRESS_SEPARATOR in operators:
        advice = "Compare the last entries of the logs with: agateferry cell status"
        text = "--operators must name just the one host whose log is kept"
        return output.failure(Failure(ExitCode.USAGE, text, advice))
    body = {"group": group, "lost": list(lost)}
    return _change_members(operators, output, "/v1/cell/recovery", body, dry_run, yes)


def _change_members(
    operators: str,
    output: Output,
    path: str,
    body: dict[str, Any],
    dry_run: bool,
    is_confirmed: bool,
) -> int:
    is_dry_run = dry_run or not is_confirmed

    async def verb(client: Client) -> Result[ExitCode, Failure]:
        answer = await client.call(Call("POST", path, body | {"dry_run": is_dry_run}))
        if answer.is_error():
            return Error(answer.error)
        view = parse_view(MembershipChangeView, answer.ok.body)
        if view.is_error():
            return Error(view.error)
        _show(output, answer.ok, view.ok)
        if is_dry_run and not dry_run and view.ok.changed:
            return Error(
                Failure(ExitCode.USAGE, "this may lose data", CONFIRM_ADVICE, "not-confirmed")
            )
        return Ok(ExitCode.OK)

    return run_verb(Port.OPERATORS, operators, output, verb)


def _show(output: Output, answer: Answer, view: MembershipChangeView) -> None:
    if output.as_json:
        output.json(answer.body)
        return
    output.line(_summary(view))
    output.fields(
        {
            "voters": ", ".join(view.voters),
            "catch up": ", ".join(view.learners),
            "removed": ", ".join(view.removed),
        }
    )
    for warning in view.warnings:
        output.line(f"warning: {warning}")


def _summary(view: MembershipChangeView) -> str:
    group = f"the cell of {view.zone}" if view.group == "cell" else "the records plane"
    if not view.changed:
        return f"{group} is so already, says {view.asked}; nothing is changed"
    verb = "would then have" if view.dry_run else "now has"
    return f"{group} {verb}, says {view.asked}:"
