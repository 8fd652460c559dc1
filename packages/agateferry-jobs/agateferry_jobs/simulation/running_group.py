"""A running subtask or gang of a simulated day, and how its work progresses."""

from dataclasses import dataclass

from agateferry_jobs.ledger.commands import RunOutcome
from agateferry_jobs.ledger.state import Run
from agateferry_jobs.simulation.drawing import SimulatedJob
from agateferry_jobs.workers.tracked_run import NO_PROGRESS_TIMEOUT_MS


@dataclass(slots=True, eq=False)
class RunningGroup:
    """A running subtask, or the members of a gang that run together, by subtask name.

    `work_ms` and `done_ms` are at full speed; `slowdown` applies to a gang that spans racks.
    """

    job: SimulatedJob
    members: dict[str, Run]
    work_ms: float
    done_ms: float
    fails_at_ms: float | None
    slowdown: int
    restore_ms: float = 0.0
    ran_ms: float = 0.0
    stalled_ms: float = 0.0
    is_at_work: bool = False
    """Whether it made progress in the last time step, and did not restore a checkpoint."""
    stops_at_ms: int | None = None
    refused_at_ms: int | None = None
    """When the leader learns that the start was never carried out; None for one that was."""

    @property
    def saved_ms(self) -> float:
        """Return the work that a checkpoint saves if the run is stopped now."""
        if not self.job.spec.steps[0].saves_checkpoints:
            return 0.0
        return self.done_ms

    @property
    def is_hung(self) -> bool:
        """Return whether the leader would stop it because it makes no progress."""
        return self.stalled_ms > NO_PROGRESS_TIMEOUT_MS

    def advance(self, elapsed_ms: int, speed: float) -> None:
        """Let time pass on workers of which the slowest has this speed; 1 is full speed."""
        if self.refused_at_ms is not None:
            return
        self.ran_ms += elapsed_ms
        self.stalled_ms = 0.0 if speed else self.stalled_ms + elapsed_ms
        if self.stops_at_ms is not None:
            return
        self.is_at_work = self.restore_ms <= 0
        if self.is_at_work:
            self.done_ms += elapsed_ms * speed / self.slowdown
        else:
            self.restore_ms -= elapsed_ms

    def outcome(self, now_ms: int) -> RunOutcome | None:
        """Return how it has ended by now, or None if it goes on."""
        if self.refused_at_ms is not None:
            return RunOutcome.REFUSED if now_ms >= self.refused_at_ms else None
        if self.stops_at_ms is not None:
            return RunOutcome.STOPPED if now_ms >= self.stops_at_ms else None
        if not self.is_at_work:
            return None
        if self.fails_at_ms is not None and self.done_ms >= self.fails_at_ms:
            return RunOutcome.FAILED
        return RunOutcome.DONE if self.done_ms >= self.work_ms else None
