"""Print answers as JSON for scripts, or as tables for people, and failures to standard error."""

import json
import sys
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, TextIO

from rich.console import Console
from rich.markup import escape
from rich.table import Table

from agateferry_cli.client.failures import ExitCode, Failure

WIDE_COLUMNS = 200


class Output:
    """Write to standard output and standard error in one of the two forms."""

    def __init__(self, as_json: bool, out: TextIO | None = None, err: TextIO | None = None) -> None:
        self.as_json = as_json
        self._out = out or sys.stdout
        self._err = err or sys.stderr

    def json(self, body: Any) -> None:
        """Write a body as it came from the host."""
        self._out.write(json.dumps(body, indent=2, ensure_ascii=False) + "\n")

    def table(self, columns: Sequence[str], rows: Iterable[Sequence[Any]], empty: str) -> None:
        """Write rows for people, or the text `empty` when there are none."""
        table = Table(box=None, pad_edge=False, header_style="bold")
        for column in columns:
            table.add_column(column)
        for row in rows:
            table.add_row(*(escape(shown(cell)) for cell in row))
        self._console().print(table if table.rows else empty)

    def fields(self, fields: Mapping[str, Any]) -> None:
        """Write named values for people, one a line, without those that are None or empty."""
        kept = {name: shown(value) for name, value in fields.items() if shown(value)}
        width = max((len(name) for name in kept), default=0)
        for name, value in kept.items():
            self._out.write(f"{name:<{width}}  {value}\n")

    def line(self, text: str) -> None:
        """Write one line for people."""
        self._out.write(text + "\n")

    def note(self, text: str) -> None:
        """Write a remark on an answer to standard error."""
        self._err.write(f"agateferry: {text}\n")

    def failure(self, failure: Failure) -> ExitCode:
        """Write a failure to standard error and return its exit code."""
        if self.as_json:
            error = {
                "exit_code": int(failure.code),
                "reason": failure.reason,
                "text": failure.text,
                "advice": failure.advice,
                "problem": failure.details,
            }
            self._err.write(json.dumps({"error": error}, ensure_ascii=False) + "\n")
            return failure.code
        self._err.write(f"agateferry: {failure.text}\n")
        if current := failure.details.get("current"):
            self._err.write(f"what stands: {json.dumps(current, ensure_ascii=False)}\n")
        if failure.advice:
            self._err.write(f"{failure.advice}\n")
        return failure.code

    def _console(self) -> Console:
        width = None if self._out.isatty() else WIDE_COLUMNS
        return Console(file=self._out, width=width, highlight=False)


def shown(value: Any) -> str:
    """Return a value as a table's cell shows it."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, str):
        return value
    if isinstance(value, (dict, list, tuple)):
        return json.dumps(value, ensure_ascii=False) if value else ""
    return str(value)
