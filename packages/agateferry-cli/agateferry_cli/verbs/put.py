"""`agateferry records put`: store a new version of a record.

The file holds either the content alone, with the version to replace in `--replaces`, or a whole
record as `records get --json` prints it, whose version is then replaced. The put fails where
another version is the current one.
"""

import json as json_codec
import sys
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from agateferry_cli.client import Client, ExitCode, Failure, Port
from agateferry_cli.client.client import Call
from agateferry_cli.client.views import RecordView, parse_view
from agateferry_cli.output import Output
from agateferry_cli.verbs.records import record_path
from agateferry_cli.verbs.run import run_verb

STANDARD_INPUT = Path("-")
DEFAULT_SCHEMA = "v2"
RECORD_FIELDS = {"version", "content"}


def put(
    kind: str,
    name: str,
    *,
    file: Path,
    replaces: int | None = None,
    schema: str | None = None,
    operators: str = "",
    json: bool = False,
) -> int:
    """Store a new version of a record; a repeated put gets the reply of the first.

    :param kind: team, job or config
    :param name: name of the record
    :param file: JSON file with the content, or with a record as get --json prints it; - is stdin
    :param replaces: version that this one replaces; 0 for a new record
    :param schema: form of the content: v1 or v2
    :param operators: operators' addresses of entry hosts, IP:PORT with commas between
    :param json: print the new record as JSON
    """
    output = Output(json)
    body = _read_json(file).bind(lambda document: put_body(document, replaces, schema))
    if body.is_error():
        return output.failure(body.error)

    async def verb(client: Client) -> Result[ExitCode, Failure]:
        answer = await client.call(Call("PUT", record_path(kind, name), body.ok))
        if answer.is_error():
            return Error(answer.error)
        if output.as_json:
            output.json(answer.ok.body)
            return Ok(ExitCode.OK)
        return parse_view(RecordView, answer.ok.body).map(lambda view: _show(output, view))

    return run_verb(Port.OPERATORS, operators, output, verb)


def put_body(
    document: Any, replaces: int | None, schema: str | None
) -> Result[dict[str, Any], Failure]:
    """Return the body of the call from a file's JSON document and the options."""
    if not isinstance(document, dict):
        return Error(Failure(ExitCode.USAGE, "the file does not hold a JSON object"))
    content = document
    if document.keys() >= RECORD_FIELDS:
        content = document["content"]
        replaces = document["version"] if replaces is None else replaces
        schema = schema or document.get("schema")
    if replaces is None:
        advice = "Give --replaces VERSION, or 0 for a new record; records get shows the version."
        return Error(Failure(ExitCode.USAGE, "the version to replace is not known", advice))
    return Ok({"schema": schema or DEFAULT_SCHEMA, "replaces": replaces, "content": content})


def _read_json(file: Path) -> Result[Any, Failure]:
    try:
        text = sys.stdin.read() if file == STANDARD_INPUT else file.read_text("utf-8")
        return Ok(json_codec.loads(text))
    except (OSError, ValueError, RecursionError) as exc:
        advice = "Name a readable file with a JSON object, or - for standard input."
        return Error(Failure(ExitCode.USAGE, f"--file {file}: {exc}", advice))


def _show(output: Output, view: RecordView) -> ExitCode:
    output.line(f"{view.kind} {view.name}: version {view.version} stands, revision {view.revision}")
    return ExitCode.OK
