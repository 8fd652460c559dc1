"""The subtasks of one step that may start now, with what decides where and when they start."""

from dataclasses import dataclass, replace

from agateferry_jobs.ledger import Job
from agateferry_jobs.ledger.specs import StepSpec


@dataclass(frozen=True, slots=True)
class ReadySubtasks:
    """Subtasks of one step of one occurrence that may start now; `gang` is `OCCURRENCE.STEP`."""

    job: Job
    gang: str
    step: StepSpec
    names: tuple[str, ...]
    rank: int
    expected_duration_ms: int
    waited_ms: int
    hopeless_after_ms: float
    """The wait after which the job is hopeless, so that it would not even end late."""
    waited_slack_share: float
    """The wait as a share of the job's slack; it is above 1 for a job that is late."""
    is_held: bool = False
    """Whether the subtasks may not start yet, since a start was refused or one may be done."""
    may_wait_by_choice: bool = True
    """Whether the subtasks may wait for a better place although they fit somewhere."""
    prefers_slow: bool = False
    """Whether the subtasks leave fast workers to others, since they do not need them."""
    trial_wait_ms: int | None = None
    """How long suspects have waited for workers of their own; None for all that are no suspects."""

    @property
    def is_suspect(self) -> bool:
        """Return whether workers crashed under these subtasks, which may be their fault."""
        return self.trial_wait_ms is not None

    def split(self, count: int) -> tuple["ReadySubtasks", "ReadySubtasks | None"]:
        """Return the first `count` subtasks, and the others if any; a gang stays whole."""
        if self.step.is_gang or self.is_held or len(self.names) <= count:
            return self, None
        return replace(self, names=self.names[:count]), replace(self, names=self.names[count:])
