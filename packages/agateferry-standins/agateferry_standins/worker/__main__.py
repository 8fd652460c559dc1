"""Run stand-in workers in a process of their own.

For example `python -m agateferry_standins.worker --config workers.toml` with

    [[workers]]
    name = "w1"
    zone = "vestland-1"
    rack = "r1"
    entries = ["127.0.0.1:9003"]
    port = 9101
"""

import argparse
import asyncio
import tomllib
from pathlib import Path
from typing import Any

from agateferry_core.logs import configure
from agateferry_standins.worker.behaviour import Behaviour
from agateferry_standins.worker.start_log import StartLog
from agateferry_standins.worker.worker import StandInWorker, WorkerPlace


async def run(entries: list[dict[str, Any]]) -> None:
    """Start a worker for each entry and serve until cancelled."""
    log = StartLog()
    workers = []
    for entry in entries:
        behaviour = Behaviour(entry.pop("behaviour", "sound"))
        place = WorkerPlace(**{**entry, "entries": tuple(entry["entries"])})
        worker = StandInWorker(place, log, behaviour=behaviour)
        await worker.start()
        workers.append(worker)
    await asyncio.Event().wait()


def main() -> None:
    """Read the command line and run."""
    parser = argparse.ArgumentParser(description="Run stand-in workers.")
    parser.add_argument("--config", type=Path, required=True)
    configure()
    config: Path = parser.parse_args().config
    try:
        asyncio.run(run(tomllib.loads(config.read_text())["workers"]))
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    main()
