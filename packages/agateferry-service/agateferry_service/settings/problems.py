"""The problems that a settings file can have."""

from dataclasses import dataclass
from pathlib import Path

MAX_SHOWN_VALUE_CHARS = 80


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem of a settings file: the key, its value and what is allowed instead."""

    file: Path
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        shown = f" = {self.value}" if self.value else ""
        return f"{self.file}: {self.key}{shown}: {self.allowed}"


@dataclass(frozen=True, slots=True)
class SettingsError:
    """All problems of a settings file, as far as one reading finds them."""

    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        """Return one line for each problem."""
        return "\n".join(str(problem) for problem in self.problems)


def shown_value(value: object) -> str:
    """Return the repr of a value, truncated to MAX_SHOWN_VALUE_CHARS characters."""
    text = repr(value)
    if len(text) <= MAX_SHOWN_VALUE_CHARS:
        return text
    return text[: MAX_SHOWN_VALUE_CHARS - 1] + "…"
