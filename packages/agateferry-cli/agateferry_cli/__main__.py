"""Run the command line as `python -m agateferry_cli`."""

from agateferry_cli.main import run

run()
