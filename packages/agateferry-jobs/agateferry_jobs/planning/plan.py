"""What one plan says: which runs start, which are stopped, and why the others wait."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from agateferry_jobs.ledger import Run
from agateferry_jobs.ledger.commands import RunStart
from agateferry_jobs.ledger.state import RunKey
from agateferry_jobs.planning.idle_jobs import IdleJob, WaitChoice
from agateferry_jobs.planning.wait_reasons import WaitReason


@dataclass(frozen=True, slots=True)
class Stop:
    """A run to stop, and the id and the rank of the job that gets its resources."""

    key: RunKey
    run: Run
    for_job: str
    for_rank: int


@dataclass(slots=True)
class Plan:
    """The runs to start and to stop, and the jobs that could not be planned."""

    starts: list[RunStart] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    waits: dict[str, WaitReason] = field(default_factory=dict)
    """By job id, why subtasks that could start wait."""
    choices: dict[str, tuple[WaitChoice, ...]] = field(default_factory=dict)
    """By job id, by which choices urgent jobs of `waits` are kept waiting, if by any."""
    ranks: Mapping[str, int] = field(default_factory=dict)
    """By job id, the rank of each job that is not over."""
    idle: dict[str, IdleJob] = field(default_factory=dict)
    """By job id, the jobs that are left idle by choice although they fit."""
    errors: dict[str, str] = field(default_factory=dict)
    """By job id, the unexpected error for which a job was left out; the others are planned."""
    unreached: list[str] = field(default_factory=list)
    """The ids of the jobs that the plan left out for its limits, also in part, in their turn."""
