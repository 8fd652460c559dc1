"""What can be wrong with a settings file."""

from dataclasses import dataclass
from pathlib import Path

MAX_SHOWN_VALUE_CHARS = 80


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault of a settings file: where it is, what stands there and what is allowed."""

    file: Path
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the fault as one line for people."""
        shown = f" = {self.value}" if self.value else ""
        return f"{self.file}: {self.key}{shown}: {self.allowed}"


@dataclass(frozen=True, slots=True)
class SettingsError:
    """All faults of a settings file, in the order of its sections."""

    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        """Return one line for each fault."""
        return "\n".join(str(problem) for problem in self.problems)


def shown_value(value: object) -> str:
    """Return a value as an error shows it, cut to a length that fits a line."""
    text = repr(value)
    if len(text) <= MAX_SHOWN_VALUE_CHARS:
        return text
    return text[: MAX_SHOWN_VALUE_CHARS - 1] + "…"
