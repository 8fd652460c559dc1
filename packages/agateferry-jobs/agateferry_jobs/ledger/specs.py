"""What a caller submits: a job's steps and when they run."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from operator import attrgetter

from msgspec import Struct, field

CORES_PER_GPU = 8
"""The cores that one accelerator counts as, as in the platform's prices."""
MILLICORES_PER_CORE = 1000
MAX_STEPS_WITH_ALL_ANCESTORS = 300
"""Up to so many steps, all steps that one depends on are found; that takes their number squared."""


class Resources(Struct, frozen=True, omit_defaults=True):
    """Resources of a subtask or a worker: `cpu` in thousandths of a core, accelerators as `gpu`."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    @property
    def weighted_cores(self) -> float:
        """Return the cores, with each accelerator counted as `CORES_PER_GPU` cores."""
        return self.cpu / MILLICORES_PER_CORE + self.gpu * CORES_PER_GPU

    def fits(self, free: "Resources") -> bool:
        """Return whether these resources fit into `free`."""
        return self.cpu <= free.cpu and self.mem_mb <= free.mem_mb and self.gpu <= free.gpu

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(self.cpu + other.cpu, self.mem_mb + other.mem_mb, self.gpu + other.gpu)

    def max(self, other: "Resources") -> "Resources":
        """Return the larger amount of each resource."""
        return Resources(
            max(self.cpu, other.cpu), max(self.mem_mb, other.mem_mb), max(self.gpu, other.gpu)
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, which may be negative."""
        return Resources(self.cpu - other.cpu, self.mem_mb - other.mem_mb, self.gpu - other.gpu)


def sum_of(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of several amounts of resources."""
    cpu = mem_mb = gpu = 0
    for each in amounts:
        cpu += each.cpu
        mem_mb += each.mem_mb
        gpu += each.gpu
    return Resources(cpu, mem_mb, gpu)


class StepSpec(Struct, frozen=True, omit_defaults=True):
    """A step of a job: `count` equal subtasks; see docs/design/platform.md for each field."""

    count: int
    need: Resources
    """What each subtask needs."""
    estimated_ms: int = 0
    """The duration of a subtask that the caller declares; 0 if it declares none."""
    depends_on: tuple[int, ...] = ()
    """The numbers of the steps that must be done before this one starts."""
    is_gang: bool = False
    """Whether the subtasks form a gang: they start together, and one that is done completes all."""
    same_rack: bool = False
    """Whether a gang prefers one rack; across racks it takes three times as long."""
    required_label: str = ""
    """A label that a worker must have to run a subtask; empty for any worker."""
    data_rack: str = ""
    """The rack that holds the data; on other racks a subtask takes three times as long."""
    max_per_worker: int = 0
    """How many subtasks of this step and one occurrence may run on one worker; 0 for no limit."""
    saves_checkpoints: bool = False
    """Whether a run saves checkpoints, so that little work is lost when it is stopped."""
    is_speculative: bool = field(default=False, name="may_copy")
    """Whether a slow subtask may get a speculative copy; stored, but not used yet."""
    is_long_running: bool = field(default=False, name="lasts")
    """Whether the subtasks have no end: they are never done, and the job never completes."""
    image: str = ""
    """The image that the subtasks run; stored, but not used yet."""
    target_ms: int = 0
    """Stored as submitted, but not used yet."""
    fills: bool = False
    """Stored as submitted, but not used yet."""
    max_unavailable: int = 0
    """Stored as submitted, but not used yet."""


class JobSpec(Struct, frozen=True):
    """A job as submitted; `payload` is passed on to the workers unchanged.

    A job with `repeat_count` has that many occurrences. Occurrence K, counted from 0, starts at
    `start_at_ms` plus K times `interval_ms`, in milliseconds since the Unix epoch.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    start_at_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0

    @property
    def occurrences(self) -> int:
        """Return how many times the job's steps run."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, in ms since the Unix epoch; 0 for at once."""
        if not self.repeat_count:
            return 0
        return self.start_at_ms + occurrence * self.interval_ms


def peak_gpus(steps: tuple[StepSpec, ...]) -> int:
    """Return an upper bound of the accelerators that a job's steps need at the same time.

    Steps of which one depends on the other, also by steps between them, never run at the same time.
    Of many steps, only those along one chain of dependencies count as ancestors of a step.
    """
    if not steps:
        return 0
    gpus = [step.count * step.need.gpu for step in steps]
    find = _ancestor_gpus if len(steps) <= MAX_STEPS_WITH_ALL_ANCESTORS else _chain_gpus
    earlier = [step.depends_on for step in steps]
    later = _reversed_dependencies(earlier)
    before, after = find(gpus, earlier), find(gpus[::-1], later)[::-1]
    return sum(gpus) - min(map(sum, zip(before, after, strict=True)))


def _reversed_dependencies(earlier: Sequence[Sequence[int]]) -> list[list[int]]:
    """Return the dependencies of the steps in the opposite order, each on those that need it."""
    last = len(earlier) - 1
    later: list[list[int]] = [[] for _ in earlier]
    for number, dependencies in enumerate(earlier):
        for each in set(dependencies):
            later[last - each].append(last - number)
    return later


def _ancestor_gpus(gpus: Sequence[int], earlier: Sequence[Sequence[int]]) -> list[int]:
    """Return for each step the accelerators of all steps that it depends on."""
    ancestors: list[int] = []
    for dependencies in earlier:
        mask = 0
        for each in set(dependencies):
            mask |= ancestors[each] | 1 << each
        ancestors.append(mask)
    by_gpus: dict[int, int] = defaultdict(int)
    for number, count in enumerate(gpus):
        by_gpus[count] |= 1 << number
    return [
        sum(count * (a & mask).bit_count() for count, mask in by_gpus.items()) for a in ancestors
    ]


def _chain_gpus(gpus: Sequence[int], earlier: Sequence[Sequence[int]]) -> list[int]:
    """Return for each step the accelerators of the steps on the chain before it that needs most."""
    before: list[int] = []
    for dependencies in earlier:
        before.append(max((before[each] + gpus[each] for each in dependencies), default=0))
    return before


def declared_critical_path_ms(spec: JobSpec) -> int:
    """Return the declared duration of the critical path through a job's steps."""
    return critical_path_ms(spec.steps, [step.estimated_ms for step in spec.steps])


def critical_path_ms(steps: Sequence[StepSpec], durations_ms: Sequence[int]) -> int:
    """Return the duration of the longest chain of dependent steps."""
    if not any(map(attrgetter("depends_on"), steps)):
        return max(durations_ms, default=0)
    ends: list[int] = []
    for step, duration_ms in zip(steps, durations_ms, strict=True):
        begin = 0
        for earlier in step.depends_on:
            if ends[earlier] > begin:
                begin = ends[earlier]
        ends.append(begin + duration_ms)
    return max(ends, default=0)
