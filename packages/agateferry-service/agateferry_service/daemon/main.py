"""The agateferryd program."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Any

import defopt

from agateferry_core.logs import EventLogger, configure
from agateferry_service import __version__
from agateferry_service.daemon import events
from agateferry_service.daemon.host import Host
from agateferry_service.settings import Settings, load_settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def main(*, config: Path, check: bool = False) -> int:
    """Run one entry host of agateferry until SIGTERM.

    :param config: the settings file, in TOML; docs/settings.md lists every setting
    :param check: check the settings file, print what is wrong with it, and exit
    """
    loaded = load_settings(config)
    if loaded.is_error():
        print(loaded.error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if check:
        print(f"{config}: valid")
        return EXIT_OK
    return asyncio.run(serve(loaded.ok))


async def serve(settings: Settings) -> int:
    """Run one entry host until SIGTERM or SIGINT; return the exit status."""
    configure(settings.log.level, settings.log.as_json)
    log = EventLogger(host=settings.host.name)
    for warning in settings.warnings:
        log.warning(events.OLD_SETTING, detail=warning)
    stop = _install_handlers(log)
    host = Host(settings)
    try:
        await host.start()
    except OSError as exc:
        log.error(events.START_FAILED, detail=str(exc))
        print(f"agateferryd cannot start: {exc}", file=sys.stderr)
        await host.abort()
        return EXIT_FAILED
    await stop.wait()
    await host.stop()
    return EXIT_OK


def _install_handlers(log: EventLogger) -> asyncio.Event:
    """Install the handlers of signals and failed tasks; return the event that a signal sets."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)

    def on_task_failure(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        log.error(events.TASK_FAILED, detail=repr(context.get("exception") or context["message"]))

    loop.set_exception_handler(on_task_failure)
    return stop


def run() -> None:
    """Run the program with the arguments of the command line."""
    if sys.argv[1:] == ["--version"]:
        print(f"agateferryd {__version__}")
        return
    sys.exit(defopt.run(main, argv=sys.argv[1:]))
