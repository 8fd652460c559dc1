"""The workers as the planner sees them: what is free now and what will be once stops end."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from agateferry_jobs.ledger import Job, Ledger, Run, WorkerIncarnation, WorkerState
from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.ledger.state import gang_of

RunKey = tuple[str, str]
"""A job's id and a subtask's name."""


@dataclass(frozen=True, slots=True)
class WorkerHealth:
    """What calls to a worker showed: whether it answers, and whether its runs come to an end."""

    answers: bool = True
    is_suspect: bool = False
    strays: tuple[RunKey, ...] = ()
    """Runs that the worker holds and the ledger does not count there; they take room too."""


@dataclass(slots=True)
class Occupant:
    """A run that holds a part of a worker."""

    job: Job
    subtask: str
    step: StepSpec
    is_stopping: bool


@dataclass(slots=True)
class Seat:
    """One worker: its life, what is free, and who holds the rest.

    `free` is free now. `future` is free once everything that is being stopped has ended, less
    what the planner has promised to jobs that wait for it.
    """

    incarnation: WorkerIncarnation
    health: WorkerHealth
    free: Resources
    future: Resources
    free_slots: int
    occupants: list[Occupant] = field(default_factory=list)

    @property
    def is_staying(self) -> bool:
        """Tell whether this worker takes work once it answers."""
        return self.incarnation.state is WorkerState.READY

    @property
    def takes_work(self) -> bool:
        """Tell whether new runs may go to this worker."""
        return self.is_staying and self.health.answers

    def can_hold(self, step: StepSpec) -> bool:
        """Tell whether a subtask may run here at all, as far as service labels and size go."""
        if step.required_label and step.required_label not in self.incarnation.labels:
            return False
        return step.need.fits(self.incarnation.capacity)

    def has_room(self, step: StepSpec) -> bool:
        """Tell whether a subtask fits now."""
        return self.free_slots > 0 and step.need.fits(self.free)

    def count_of(self, job: Job, gang: str) -> int:
        """Return how many subtasks of one step of one occurrence run here."""
        return sum(1 for o in self.occupants if o.job is job and gang_of(o.subtask) == gang)

    def take(self, job: Job, subtask: str) -> None:
        """Count a run that holds room here or is about to."""
        step = job.step_of(subtask)
        self.occupants.append(Occupant(job, subtask, step, is_stopping=False))
        self.free = self.free.minus(step.need)
        self.future = self.future.minus(step.need)
        self.free_slots -= 1

    def release(self, occupant: Occupant) -> None:
        """Count a run as being stopped; its room is free once it has ended."""
        occupant.is_stopping = True
        self.future = self.future.plus(occupant.step.need)

    def promise(self, need: Resources) -> None:
        """Keep room for a job that waits, so that jobs after it do not take it."""
        self.future = self.future.minus(need)
        self.free = Resources(
            min(self.free.cpu, self.future.cpu),
            min(self.free.mem_mb, self.future.mem_mb),
            min(self.free.gpu, self.future.gpu),
        )


class Fleet:
    """All workers of all services at one moment."""

    def __init__(self, seats: Iterable[Seat]) -> None:
        self.by_service: dict[str, list[Seat]] = defaultdict(list)
        for seat in seats:
            self.by_service[seat.incarnation.service].append(seat)

    @classmethod
    def of(
        cls,
        ledger: Ledger,
        health: Mapping[str, WorkerHealth],
        stopping: Collection[RunKey],
    ) -> "Fleet":
        """Return the fleet that a ledger and the calls to its workers tell."""
        unknown = WorkerHealth(answers=False)
        seats = {
            incarnation.id: Seat(
                incarnation,
                health.get(incarnation.id, unknown),
                incarnation.capacity,
                incarnation.capacity,
                incarnation.slots,
            )
            for incarnation in ledger.workers.values()
        }
        for job in ledger.jobs.values():
            for name, subtask in job.subtasks.items():
                if subtask.active is not None:
                    _seat_run(seats, job, name, subtask.active, (job.id, name) in stopping)
        for seat in seats.values():
            _seat_strays(seat, ledger)
        return cls(seats.values())


def _seat_run(seats: Mapping[str, Seat], job: Job, name: str, run: Run, is_stopping: bool) -> None:
    seat = seats.get(run.worker)
    if seat is None or seat.incarnation.born != run.born:
        return
    seat.take(job, name)
    if is_stopping or job.is_over or job.subtasks[name].is_done:
        seat.release(seat.occupants[-1])


def _seat_strays(seat: Seat, ledger: Ledger) -> None:
    for job_id, name in seat.health.strays:
        job = ledger.jobs.get(job_id)
        if job is not None:
            seat.take(job, name)
            seat.release(seat.occupants[-1])
