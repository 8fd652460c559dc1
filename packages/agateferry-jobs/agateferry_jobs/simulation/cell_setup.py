"""The commands that set up the cell of a simulated day: its manifest and its workers."""

from collections.abc import Iterator, Mapping

from agateferry_jobs.ledger import WorkerIncarnation, commands
from agateferry_jobs.manifest import Manifest, Queue, Service, Team
from agateferry_jobs.simulation.faults import zone_of
from agateferry_jobs.simulation.loads import Load

CALL_TIMEOUT_MS = 3_000
"""The time limit of callers' calls, which the manifest requires; a simulation has no calls."""


def setup_commands(load: Load, racks: Mapping[str, str]) -> Iterator[commands.Command]:
    """Yield the commands for a load; `racks` maps a worker's id to its rack."""
    yield commands.PutManifest(_manifest(load))
    capacity = load.capacity
    for id, rack in racks.items():
        zone, labels = zone_of(rack, load.zones), ("kind", rack)
        worker = WorkerIncarnation(id, 1, "pool", id, zone, capacity, labels, capacity.gpu)
        yield commands.NoteWorker(worker)


def _manifest(load: Load) -> Manifest:
    """Return a manifest with a queue for each kind of job, and teams with equal guarantees."""
    queues = tuple(
        Queue(
            name=kind.name,
            host="host",
            prefix=f"/{kind.name}/",
            service="pool",
            timeout_ms=CALL_TIMEOUT_MS,
            target_ms=kind.target_ms,
            priority=kind.priority,
            attempts=kind.attempts,
            stretch=kind.stretch,
        )
        for kind in load.kinds
    )
    guaranteed = int(load.guaranteed_share * load.workers * load.capacity.gpu / load.teams)
    teams = tuple(
        Team(f"team-{number}", (f"key-{number}",), reserved_gpus=guaranteed)
        for number in range(load.teams)
    )
    return Manifest(1, queues, (Service("pool"),), teams)
