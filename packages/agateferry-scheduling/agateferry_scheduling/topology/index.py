"""Indexes over a zone's workers, so that a decision examines only a few of them.

`WorkerIndex` finds workers by their free slots and by whether they have accelerators. `FreedLog`
records on which workers resources became free, so that a search that failed before examines only
the workers that changed since.
"""

from collections.abc import Iterable, Iterator

from agateferry_scheduling.topology.state import WorkerState

MAX_LOG_LENGTH = 4_096


class WorkerIndex:
    """The workers by number of free slots; `accelerated` has those with accelerators, by name."""

    def __init__(self) -> None:
        self._by_free_slots: dict[int, dict[str, WorkerState]] = {}
        self._free_slots: dict[str, int] = {}
        self.accelerated: dict[str, WorkerState] = {}

    def update(self, state: WorkerState) -> None:
        """Add a worker, or update its number of free slots."""
        name = state.name
        slots = max(state.free_slots, 0)
        before = self._free_slots.get(name)
        if before == slots and self._by_free_slots[slots].get(name) is state:
            return
        if before is not None:
            del self._by_free_slots[before][name]
        self._free_slots[name] = slots
        self._by_free_slots.setdefault(slots, {})[name] = state
        if state.worker.accelerators:
            self.accelerated[name] = state

    def remove(self, name: str) -> None:
        """Remove a worker."""
        slots = self._free_slots.pop(name, None)
        if slots is not None:
            del self._by_free_slots[slots][name]
        self.accelerated.pop(name, None)

    def with_free_slots(self) -> Iterator[WorkerState]:
        """Yield the workers with free slots, those with the fewest first."""
        for slots in sorted(self._by_free_slots):
            if slots > 0:
                yield from self._by_free_slots[slots].values()


class FreedLog:
    """A bounded log of the workers on which resources became free, in order.

    A position counts all entries ever added, so it stays valid when old entries are dropped.
    """

    def __init__(self) -> None:
        self._names: list[str] = []
        self._first_position = 0

    def end_position(self) -> int:
        """Return the position after the latest entry."""
        return self._first_position + len(self._names)

    def add(self, names: Iterable[str]) -> None:
        """Record that resources became free on these workers."""
        self._names.extend(names)
        if len(self._names) > MAX_LOG_LENGTH:
            dropped = len(self._names) - MAX_LOG_LENGTH // 2
            del self._names[:dropped]
            self._first_position += dropped

    def invalidate(self) -> None:
        """Make all earlier positions invalid, so that each search examines all workers again."""
        self._first_position = self.end_position() + 1
        self._names.clear()

    def since(self, position: int) -> list[str] | None:
        """Return the workers recorded since a position, or None if the log no longer covers it."""
        if position < self._first_position:
            return None
        return list(dict.fromkeys(self._names[position - self._first_position :]))
