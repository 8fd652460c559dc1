"""What verbs print, for people and for scripts."""

from agateferry_cli.output.output import Output
from agateferry_cli.output.progress import ProgressLine

__all__ = ["Output", "ProgressLine"]
