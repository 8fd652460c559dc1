"""Output of the verbs: tables and progress for people, JSON for scripts."""

from agateferry_cli.output.output import Output
from agateferry_cli.output.progress import ProgressLine

__all__ = ["Output", "ProgressLine"]
