"""How the time in which guaranteed work has to begin is divided."""

from dataclasses import dataclass

DEFAULT_START_MS = 3_600
"""Within what time urgent work begins where the platform names no bound."""
DEFAULT_STOP_MS = 500
"""How long a stop takes at most where the platform does not say."""
STOP_OVERHEAD_MS = 250
"""How long the order of a stop, the report of its end and the next plan take on sound hosts."""
ORDER_MS = 300
"""How long a start order may take that has to be sent a second time."""
PREEMPTIONS = 2
"""How many preemptions there is time for, so that one whose stop is not carried out can fail."""


@dataclass(frozen=True, slots=True)
class StartBudget:
    """The time from the acceptance to the begin of guaranteed work, in ms, and what takes from it.

    `start_ms` is the whole of it, and `stop_ms` how long a worker may take to stop a run. Waits by
    choice get what preemptions and the start order leave:

        StartBudget(start_ms=2_700, stop_ms=200).choice_ms == 1_500
    """

    start_ms: int = DEFAULT_START_MS
    stop_ms: int = DEFAULT_STOP_MS

    @property
    def preemption_ms(self) -> int:
        """Return how long a preemption takes; a stop that takes longer is not counted on."""
        return self.stop_ms + STOP_OVERHEAD_MS

    @property
    def choice_ms(self) -> int:
        """Return how long work may wait by choice, over all choices together."""
        return max(0, self.start_ms - ORDER_MS - PREEMPTIONS * self.preemption_ms)


DEFAULT_BUDGET = StartBudget()
