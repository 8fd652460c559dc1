"""Print answers as JSON for scripts, or as tables for people, and failures to standard error."""

import json
import sys
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, TextIO

from rich.console import Console
from rich.markup import escape
from rich.table import Table

from agateferry_cli.client.failures import ExitCode, Failure

NON_TERMINAL_WIDTH = 200


class Output:
    """Write to standard output and standard error, as JSON or for people."""

    def __init__(self, as_json: bool, out: TextIO | None = None, err: TextIO | None = None) -> None:
        self.as_json = as_json
        self._out = out or sys.stdout
        self._err = err or sys.stderr

    def json(self, body: Any) -> None:
        """Write a host's answer unchanged as JSON."""
        self._out.write(json.dumps(body, indent=2, ensure_ascii=False) + "\n")

    def table(self, columns: Sequence[str], rows: Iterable[Sequence[Any]], empty: str) -> None:
        """Write a table for people, or the text `empty` where there are no rows."""
        table = Table(box=None, pad_edge=False, header_style="bold")
        for column in columns:
            table.add_column(column)
        for row in rows:
            table.add_row(*(escape(format_cell(cell)) for cell in row))
        self._console().print(table if table.rows else empty)

    def fields(self, fields: Mapping[str, Any]) -> None:
        """Write named values for people, one per line, without those that are None or empty."""
        texts = {name: format_cell(value) for name, value in fields.items() if format_cell(value)}
        width = max((len(name) for name in texts), default=0)
        for name, value in texts.items():
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
        width = None if self._out.isatty() else NON_TERMINAL_WIDTH
        return Console(file=self._out, width=width, highlight=False)


def format_cell(value: Any) -> str:
    """Return the text of a value in a table cell."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, str):
        return value
    if isinstance(value, (dict, list, tuple)):
        return json.dumps(value, ensure_ascii=False) if value else ""
    return str(value)
