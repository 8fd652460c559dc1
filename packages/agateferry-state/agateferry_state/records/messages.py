"""Requests to the record store, and their outcomes."""

from dataclasses import dataclass
from typing import Any

from agateferry_state.records.record_types import Kind, Record, Schema


@dataclass(frozen=True, slots=True)
class RecordPut:
    """A request to store a new version of a record in place of version `replaces`.

    With `replaces` 0, no version may exist yet. `content` is the JSON that the operator sent, in
    the schema `schema`.
    """

    kind: Kind
    name: str
    schema: Schema
    replaces: int
    content: dict[str, Any]
    operator: str = ""


@dataclass(frozen=True, slots=True)
class Revision:
    """One accepted version of one record.

    `number` counts the accepted versions of all records and only increases. `digest` is a hash of
    the content as it was sent, which distinguishes a resent put from one with another content.
    """

    number: int
    kind: Kind
    name: str
    version: int
    record: Record
    schema: Schema
    digest: str
    operator: str = ""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The put was stored; sending the same put again returns an equal value."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Conflict:
    """The put replaces a version that is not the current one; `current` is None if none exists."""

    current: Revision | None


@dataclass(frozen=True, slots=True)
class ContentProblem:
    """One problem with a put: the field, what is wrong with it and what is allowed."""

    field: str
    detail: str

    def __str__(self) -> str:
        """Return the problem as one line for operators."""
        return f"{self.field}: {self.detail}"


@dataclass(frozen=True, slots=True)
class Invalid:
    """The put is invalid, whatever the current version is; nothing changed."""

    problems: tuple[ContentProblem, ...]

    def __str__(self) -> str:
        """Return all problems in one line."""
        return "; ".join(str(problem) for problem in self.problems)


PutOutcome = Accepted | Conflict | Invalid
