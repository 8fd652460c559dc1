"""The table of verbs and the entry point of the command line."""

import os
import sys
import traceback
from collections.abc import Sequence
from typing import Any

import defopt

from agateferry_cli import __version__
from agateferry_cli.client import ExitCode
from agateferry_cli.verbs import cell, membership, records
from agateferry_cli.verbs.analyze import analyze
from agateferry_cli.verbs.cancel import cancel
from agateferry_cli.verbs.check_config import check_config
from agateferry_cli.verbs.evacuation import evacuate, evacuations, readmit
from agateferry_cli.verbs.explain import explain
from agateferry_cli.verbs.explore import explore
from agateferry_cli.verbs.put import put
from agateferry_cli.verbs.queue import queue
from agateferry_cli.verbs.replay import replay
from agateferry_cli.verbs.status import status
from agateferry_cli.verbs.submit import submit
from agateferry_cli.verbs.teams import teams
from agateferry_cli.verbs.trace import trace
from agateferry_cli.verbs.watch import watch
from agateferry_cli.verbs.workers import workers

DEBUG_VARIABLE = "AGATEFERRY_DEBUG"

VERBS: dict[str, Any] = {
    "submit": submit,
    "status": status,
    "cancel": cancel,
    "watch": watch,
    "records": {
        "get": records.get,
        "put": put,
        "list": records.list_,
        "history": records.history,
        "status": records.status,
    },
    "workers": workers,
    "teams": teams,
    "queue": queue,
    "explain": explain,
    "evacuate": evacuate,
    "readmit": readmit,
    "evacuations": evacuations,
    "cell": {
        "status": cell.status,
        "replace": membership.replace,
        "recover": membership.recover,
    },
    "check-config": check_config,
    "replay": replay,
    "explore": explore,
    "trace": trace,
    "analyze": analyze,
}


def main(argv: Sequence[str] | None = None) -> int:
    """Run one verb and return its exit code.

    An internal error prints a traceback only where `AGATEFERRY_DEBUG` is set.
    """
    try:
        return int(_dispatch(list(sys.argv[1:] if argv is None else argv)))
    except KeyboardInterrupt:
        print("agateferry: interrupted; nothing was cancelled", file=sys.stderr)
        return ExitCode.INTERRUPTED
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.OK
    except Exception as exc:
        return _report_internal_error(exc)


def run() -> None:
    """Run the command line of this process."""
    sys.exit(main())


def _dispatch(argv: list[str]) -> int:
    code: int = defopt.run(
        VERBS,
        argv=argv,
        short={},
        no_negated_flags=True,
        version=f"agateferry {__version__}",
        argparse_kwargs={"prog": "agateferry"},
    )
    return code


def _report_internal_error(exc: Exception) -> int:
    if os.environ.get(DEBUG_VARIABLE):
        traceback.print_exc()
    text = f"agateferry: internal error: {type(exc).__name__}: {exc}"
    print(f"{text}\nSet {DEBUG_VARIABLE}=1 for details and report them.", file=sys.stderr)
    return ExitCode.INTERNAL
