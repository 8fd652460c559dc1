"""What is asked of the records and what comes back."""

from dataclasses import dataclass
from typing import Any

from agateferry_state.records.forms import Kind, Record, Schema


@dataclass(frozen=True, slots=True)
class RecordPut:
    """Store a new version of a record in place of version `replaces`; 0: there must be none.

    `content` is JSON as the operator stated it, in the form of `schema`.
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

    `number` counts the accepted versions of all records and only goes up. `digest` stands for the
    content as it was stated, so that a resend can be told from another content.
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
    """The put is in force; a resend of the same put gets an equal value."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another version stands; `current` is None when no version of the record does."""

    current: Revision | None


@dataclass(frozen=True, slots=True)
class ContentProblem:
    """One fault of a put: the field, and what is wrong with it and allowed instead."""

    field: str
    detail: str

    def __str__(self) -> str:
        """Return the fault as one line for people."""
        return f"{self.field}: {self.detail}"


@dataclass(frozen=True, slots=True)
class Invalid:
    """The put cannot be stored, whatever stands; nothing changed."""

    problems: tuple[ContentProblem, ...]

    def __str__(self) -> str:
        """Return all faults in one line."""
        return "; ".join(str(problem) for problem in self.problems)


PutOutcome = Accepted | Conflict | Invalid
