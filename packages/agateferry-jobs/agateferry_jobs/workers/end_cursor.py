"""Which of the ends that a worker lists are committed."""

from collections.abc import Callable, Sequence

from agateferry_jobs.workers.port import FinishedRun


class EndCursor:
    """Track the ends that one incarnation lists, by their numbers.

    All ends up to `position` are committed, so that they can be acknowledged. Ends above it are
    listed again by each answer. An end that is held back keeps `position` below its number; those
    that follow it are committed all the same.
    """

    def __init__(self) -> None:
        self.position = 0
        self.held: tuple[FinishedRun, ...] = ()
        self._committed_above: set[int] = set()

    def take_new(
        self, finished: Sequence[FinishedRun], is_held: Callable[[FinishedRun], bool]
    ) -> list[FinishedRun]:
        """Return the ends that are to be committed now; `held` are those that must wait."""
        new = [each for each in finished if self._is_new(each.number)]
        self.held = tuple(each for each in new if is_held(each))
        return [each for each in new if each not in self.held]

    def advance(self, finished: Sequence[FinishedRun]) -> None:
        """Record that all listed ends except those in `held` are committed."""
        held = {each.number for each in self.held}
        committed = {each.number for each in finished} - held
        passed = {number for number in committed if not held or number < min(held)}
        self.position = max({self.position, *passed})
        self._committed_above = committed - passed

    def _is_new(self, number: int) -> bool:
        return number > self.position and number not in self._committed_above
