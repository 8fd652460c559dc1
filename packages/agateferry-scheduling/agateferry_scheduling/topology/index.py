"""Indexes over a zone's workers, so that a decision looks at few of them.

`WorkerIndex` finds workers by their free slots and by whether they have accelerators. `FreedLog`
remembers where room came free, so that a search that failed looks only at what changed since.
"""

from collections.abc import Iterable, Iterator

from agateferry_scheduling.topology.state import WorkerState

LOG_LENGTH = 4_096


class WorkerIndex:
    """Keep workers by free slots, and those with accelerators apart."""

    def __init__(self) -> None:
        self._by_slots: dict[int, dict[str, WorkerState]] = {}
        self._slots: dict[str, int] = {}
        self.accelerated: dict[str, WorkerState] = {}

    def put(self, state: WorkerState) -> None:
        """Enter a worker, or take its changed number of free slots over."""
        name = state.name
        slots = max(state.free_slots, 0)
        before = self._slots.get(name)
        if before == slots and self._by_slots[slots].get(name) is state:
            return
        if before is not None:
            del self._by_slots[before][name]
        self._slots[name] = slots
        self._by_slots.setdefault(slots, {})[name] = state
        if state.worker.accelerators:
            self.accelerated[name] = state

    def drop(self, name: str) -> None:
        """Remove a worker."""
        slots = self._slots.pop(name, None)
        if slots is not None:
            del self._by_slots[slots][name]
        self.accelerated.pop(name, None)

    def with_free_slots(self) -> Iterator[WorkerState]:
        """Yield the workers with free slots, the fullest first."""
        for slots in sorted(self._by_slots):
            if slots > 0:
                yield from self._by_slots[slots].values()


class FreedLog:
    """Remember, in order, on which workers room came free."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._base = 0

    def end_position(self) -> int:
        """Return the present end of the log."""
        return self._base + len(self._names)

    def add(self, names: Iterable[str]) -> None:
        """Note that room came free on these workers."""
        self._names.extend(names)
        if len(self._names) > LOG_LENGTH:
            dropped = len(self._names) - LOG_LENGTH // 2
            del self._names[:dropped]
            self._base += dropped

    def invalidate(self) -> None:
        """Make every search look at all workers again."""
        self._base = self.end_position() + 1
        self._names.clear()

    def since(self, mark: int) -> list[str] | None:
        """Return the workers noted after a mark, or None when the log no longer knows."""
        if mark < self._base:
            return None
        return list(dict.fromkeys(self._names[mark - self._base :]))
