"""The whole state of the ledger, as its snapshots store it."""

from msgspec import Struct, field

from agateferry_jobs.ledger.cancellations import Cancellations
from agateferry_jobs.ledger.durations import DurationEstimate
from agateferry_jobs.ledger.evacuations import Evacuation
from agateferry_jobs.ledger.state import (
    GivenUp,
    Job,
    WorkerCrash,
    WorkerIncarnation,
    WorkerReports,
)
from agateferry_jobs.ledger.team_records import TeamHistory
from agateferry_jobs.ledger.worker_speeds import WorkerSpeeds
from agateferry_jobs.manifest import Manifest


class State(Struct):
    """The whole state of the ledger, as its snapshots store it."""

    manifest: Manifest | None = None
    jobs: dict[str, Job] = field(default_factory=dict)
    workers: dict[str, WorkerIncarnation] = field(default_factory=dict)
    gone: dict[str, int] = field(default_factory=dict)
    """For each worker that left, `born` of its last incarnation; later updates are ignored."""
    reports: dict[str, WorkerReports] = field(default_factory=dict)
    """What the reports of each worker's incarnation have shown."""
    durations: dict[str, DurationEstimate] = field(default_factory=dict, name="lengths")
    """Estimates of how long runs really take, by queue."""
    speeds: WorkerSpeeds = field(default_factory=WorkerSpeeds)
    """Estimates of the pace of each worker."""
    crashes: list[WorkerCrash] = field(default_factory=list)
    """The workers that crashed of late, in order of time."""
    given_up: list[GivenUp] = field(default_factory=list)
    """The jobs that were given up of late, in order of time."""
    evacuations: dict[str, Evacuation] = field(default_factory=dict)
    """The evacuated zones."""
    silences: dict[str, int] = field(default_factory=dict)
    """By worker that is granted no lease, `born` of its incarnation."""
    cancellations: Cancellations = field(default_factory=dict)
    """The cancellations of jobs that have not arrived."""
    cancelled_in: Cancellations = field(default_factory=dict)
    """By team and address, the version of the manifest under which each was checked."""
    teams: TeamHistory = field(default_factory=TeamHistory)
    """What is kept of the teams of earlier manifests."""
    evacuation_revisions: dict[str, int] = field(default_factory=dict)
    """The revision of each zone, which counts the commands that evacuated or readmitted it."""
