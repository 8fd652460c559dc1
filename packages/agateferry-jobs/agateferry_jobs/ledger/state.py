"""The records that the ledger keeps; its snapshots contain all of them."""

from enum import StrEnum
from functools import lru_cache

from msgspec import UNSET, Struct, UnsetType, field

from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec

WorkerKey = tuple[str, int]
"""The id and `born` of a worker's incarnation."""
RunKey = tuple[str, str]
"""A job's id and a subtask's name."""


class JobState(StrEnum):
    """The state of a job, as its callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class WorkerState(StrEnum):
    """Whether a worker accepts new runs."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class WorkerIncarnation(Struct):
    """One incarnation of a worker; `born` grows each time a worker starts again under its id."""

    id: str
    born: int
    service: str
    address: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    slots: int = 0
    machine: str = ""
    state: WorkerState = WorkerState.READY

    @property
    def rack(self) -> str:
        """Return the rack, which is the second label, after the worker's kind."""
        return self.labels[1] if len(self.labels) > 1 else ""


class WorkerReports(Struct):
    """What the reports of a worker's incarnation have shown, besides its current state."""

    sequence: int
    """The number of the report that last changed the worker's record."""
    largest: Resources
    """The largest capacity of each resource so far; the current one may be small for a while."""


class Run(Struct, frozen=True):
    """One run of a subtask on one incarnation of a worker."""

    number: int
    worker: str
    born: int

    @property
    def worker_key(self) -> WorkerKey:
        """Return the key of the incarnation that it runs on."""
        return self.worker, self.born


class CrashEvidence(StrEnum):
    """How surely a worker crashed while a run worked on it."""

    CRASHED = "crashed"
    """The run had begun, and the worker crashed."""
    POSSIBLE = "possible"
    """The worker crashed; the run had perhaps not begun, or had worked well for long."""
    SILENT = "silent"
    """The worker's lease expired; whether it crashed may show later."""


class RunCrash(Struct, frozen=True):
    """What is known of the crash of a worker under a run.

    `at_ms` is when it was learned, `ran_ms` how long the run had worked at most. `is_alone` says
    that no other job on the worker came into question as its cause.
    """

    run: Run
    evidence: CrashEvidence
    at_ms: int
    ran_ms: int
    is_alone: bool


class WorkerCrash(Struct):
    """The crash of a worker; it is explained if a job that was suspected before ran there."""

    worker: str
    born: int
    service: str
    rack: str
    at_ms: int
    jobs: tuple[str, ...]
    """The ids of the jobs that ran there."""
    is_explained: bool


class GivenUp(Struct):
    """A job that was given up because workers crashed under it."""

    queue: str
    at_ms: int


class Subtask(Struct, omit_defaults=True):
    """One subtask: its newest run number, its active run if it has one, and its progress."""

    last_run: int = 0
    failures: int = 0
    is_done: bool = False
    checkpoint: str = ""
    active: Run | None = None
    started_ms: int = 0
    is_cold: bool = False
    """Whether the newest run started on a cold worker."""
    hung_stops: int = 0
    """How many of its runs were stopped because they counted as hung."""


class Gang(Struct):
    """What the members of a gang share; `failed_run` is the newest run that counted as failed."""

    last_run: int = 0
    failures: int = 0
    failed_run: int = 0


class Job(Struct):
    """An accepted job. Subtasks have the key `OCCURRENCE.STEP.INDEX`, gangs `OCCURRENCE.STEP`.

    `queue` is the name that its queue had then. An operator may give the name to another queue, or
    the queue another name, so callers know a job by its address. `team` is the name that its team
    has now; `TeamRecords` keeps it.
    """

    id: str
    queue: str
    service: str
    team: str
    priority: int
    attempts: int
    accepted_ms: int
    spec: JobSpec
    subtasks: dict[str, Subtask] = field(default_factory=dict)
    gangs: dict[str, Gang] = field(default_factory=dict)
    has_started: bool = False
    """Whether a start was ever committed; a worker may have rejected it."""
    is_cancelled: bool = False
    is_failed: bool = False
    is_completed: bool = False
    ended_ms: int = 0
    crashes: dict[str, tuple[RunCrash, ...]] = field(default_factory=dict)
    """By subtask, the crashes of workers under it that may be its fault."""
    failure: str = ""
    """Why the job failed, for its caller."""
    host: str = ""
    path: str = ""
    """The address that the job was submitted to; empty where an earlier version accepted it."""
    call_id: str | UnsetType = UNSET
    """The call by which the job was accepted, whose further attempts are answered alike."""
    is_known_begun: bool | UnsetType = field(default=UNSET, name="begun")
    """Whether a worker is known to have begun a run; unset where an earlier version accepted it."""
    manifest_version: int = 0
    """The version of the manifest that it was accepted under; 0 where an earlier version did so."""

    @property
    def has_begun(self) -> bool:
        """Return whether a worker has begun a run of the job, as far as is known.

        Of a job that an earlier version accepted only its committed starts are known.
        """
        return self.has_started if self.is_known_begun is UNSET else bool(self.is_known_begun)

    @property
    def is_over(self) -> bool:
        """Return whether the job has ended, so that none of its subtasks may start."""
        return self.is_cancelled or self.is_failed or self.is_completed

    @property
    def state(self) -> JobState:
        """Return the state that callers see."""
        return self.state_if(self.has_begun)

    def state_if(self, has_begun: bool) -> JobState:
        """Return the state that callers see if the job has begun, or has not."""
        if self.is_completed:
            return JobState.COMPLETED
        if self.is_cancelled:
            return JobState.CANCELLED
        if self.is_failed:
            return JobState.FAILED
        return JobState.RUNNING if has_begun else JobState.QUEUED

    def step_of(self, name: str) -> StepSpec:
        """Return the step that a subtask belongs to."""
        return self.spec.steps[step_number(name)]

    def members(self, gang: str) -> list[str]:
        """Return the names of all subtasks of one step of one occurrence, `OCCURRENCE.STEP`."""
        step = self.spec.steps[step_number(gang)]
        return [f"{gang}.{index}" for index in range(step.count)]

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all subtasks of a step of one occurrence are done."""
        return all(self.subtasks[name].is_done for name in self.members(f"{occurrence}.{step}"))


@lru_cache(maxsize=65_536)
def numbers_in(name: str) -> tuple[int, ...]:
    """Return the occurrence, the step and the index in a subtask's name, or those in a gang's.

    All jobs share the names of their subtasks, and each plan asks for those of each run.
    """
    return tuple(map(int, name.split(".")))


def step_number(name: str) -> int:
    """Return the step number in a subtask's or a gang's name."""
    return numbers_in(name)[1]


def gang_of(name: str) -> str:
    """Return `OCCURRENCE.STEP` for a subtask's name `OCCURRENCE.STEP.INDEX`."""
    return name.rpartition(".")[0]
