"""What a caller asks for: a job's steps and when they run."""

from collections.abc import Sequence

from msgspec import Struct, field


class Resources(Struct, frozen=True):
    """What a subtask needs or a worker has: thousandths of a core, MB of memory, accelerators."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def fits(self, room: "Resources") -> bool:
        """Tell whether this fits into `room`."""
        return self.cpu <= room.cpu and self.mem_mb <= room.mem_mb and self.gpu <= room.gpu

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(self.cpu + other.cpu, self.mem_mb + other.mem_mb, self.gpu + other.gpu)

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, which may be negative."""
        return Resources(self.cpu - other.cpu, self.mem_mb - other.mem_mb, self.gpu - other.gpu)


class StepSpec(Struct, frozen=True):
    """Subtasks that are alike; see docs/design/platform.md for what each field asks of placing."""

    count: int
    need: Resources
    estimated_ms: int = 0
    depends_on: tuple[int, ...] = ()
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    saves_checkpoints: bool = False
    is_speculative: bool = field(default=False, name="may_copy")
    is_long_running: bool = field(default=False, name="lasts")
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0


class JobSpec(Struct, frozen=True):
    """A job as handed in; `payload` goes to the workers as it is.

    A job with `repeat_count` runs that many times, occurrence K at `start_at_ms` plus K times
    `interval_ms`, in milliseconds since the Unix epoch.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    start_at_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, or 0 for at once."""
        if not self.repeat_count:
            return 0
        return self.start_at_ms + occurrence * self.interval_ms


def declared_critical_path_ms(spec: JobSpec) -> int:
    """Return the longest chain of declared lengths through a job's steps."""
    return critical_path_ms(spec.steps, [step.estimated_ms for step in spec.steps])


def critical_path_ms(steps: Sequence[StepSpec], lengths_ms: Sequence[int]) -> int:
    """Return the longest chain through steps of the given lengths."""
    ends: list[int] = []
    for step, length_ms in zip(steps, lengths_ms, strict=True):
        begin = max((ends[earlier] for earlier in step.depends_on), default=0)
        ends.append(begin + length_ms)
    return max(ends, default=0)
