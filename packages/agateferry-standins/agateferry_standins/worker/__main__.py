"""Run stand-in workers in a separate process.

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
from agateferry_standins.worker.worker import StandInWorker, WorkerConfig


async def run(worker_tables: list[dict[str, Any]]) -> None:
    """Start a worker for each table of the configuration and serve until cancelled."""
    log = StartLog()
    workers = []
    for table in worker_tables:
        behaviour = Behaviour(table.pop("behaviour", "sound"))
        config = WorkerConfig(**{**table, "entries": tuple(table["entries"])})
        worker = StandInWorker(config, log, behaviour=behaviour)
        await worker.start()
        workers.append(worker)
    await asyncio.Event().wait()


def main() -> None:
    """Parse the command line and run the workers of the configuration file."""
    parser = argparse.ArgumentParser(description="Run stand-in workers.")
    parser.add_argument("--config", type=Path, required=True)
    configure()
    path: Path = parser.parse_args().config
    try:
        asyncio.run(run(tomllib.loads(path.read_text())["workers"]))
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    main()
