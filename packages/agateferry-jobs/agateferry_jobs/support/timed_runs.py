"""Model workers whose runs end by themselves after a while, gangs all members at once."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace

from agateferry_core.clock import Clock
from agateferry_jobs.ledger import Ledger
from agateferry_jobs.ledger.state import RunKey, gang_of
from agateferry_jobs.support.model_worker import ModelWorker
from agateferry_jobs.workers.port import (
    Answer,
    IncarnationMismatch,
    NoAnswer,
    PollOrder,
    Rejected,
    RunLists,
    StartOrder,
)

GANG_WAIT_MS = 5_000
"""How long a member of a gang waits for the others before it ends as alone."""

GangRun = tuple[str, str, int]
"""A job's id, the name of a gang, and the number of its run."""
RunningMember = tuple["TimedWorker", RunKey]


@dataclass
class TimedWorker(ModelWorker):
    """A model worker that knows since when each run is there, and how far it is."""

    begun_ms: dict[RunKey, int] = field(default_factory=dict)
    percents: dict[RunKey, float] = field(default_factory=dict)

    def execute(self, order: StartOrder) -> Answer:
        """Start a run as a model worker does."""
        starts = len(self.starts)
        answer = super().execute(order)
        if len(self.starts) > starts:
            self.begun_ms[order.key] = self.clock.now_ms()
            self.percents[order.key] = 0.0
        return answer

    async def poll(
        self, order: PollOrder, timeout_ms: int
    ) -> RunLists | Rejected | IncarnationMismatch | NoAnswer:
        """Answer as a model worker does, with the progress of each run."""
        answer = await super().poll(order, timeout_ms)
        if not isinstance(answer, RunLists):
            return answer
        running = tuple(replace(each, percent=self.percents[each.key]) for each in answer.running)
        return replace(answer, running=running)


class TimedRuns:
    """End the runs of workers: each after its duration, gangs after that of their whole time.

    `duration_ms` returns how long a run of a subtask works.
    """

    def __init__(self, ledger: Ledger, clock: Clock, duration_ms: Callable[[RunKey], int]) -> None:
        self._ledger = ledger
        self._clock = clock
        self._duration_ms = duration_ms
        self._whole_since_ms: dict[GangRun, int] = {}

    def advance(self, workers: Iterable[TimedWorker]) -> None:
        """End the runs whose time has come, and record the progress of the others."""
        gangs: dict[GangRun, list[RunningMember]] = defaultdict(list)
        for worker, key in list(_running(workers)):
            job = self._ledger.jobs[key[0]]
            if job.step_of(key[1]).is_gang:
                gangs[key[0], gang_of(key[1]), worker.running[key]].append((worker, key))
            else:
                self._work(worker, key, worker.begun_ms[key])
        for gang, members in gangs.items():
            self._advance_gang(gang, members)

    def _advance_gang(self, gang: GangRun, members: list[RunningMember]) -> None:
        job, name, _ = gang
        if len(members) == len(self._ledger.jobs[job].members(name)):
            since_ms = self._whole_since_ms.setdefault(gang, self._clock.now_ms())
            for worker, key in members:
                self._work(worker, key, since_ms)
            return
        for worker, key in members:
            if gang in self._whole_since_ms:
                worker.end(key, "broken")
            elif self._clock.now_ms() - worker.begun_ms[key] >= GANG_WAIT_MS:
                worker.end(key, "alone")

    def _work(self, worker: TimedWorker, key: RunKey, since_ms: int) -> None:
        share = (self._clock.now_ms() - since_ms) / self._duration_ms(key)
        worker.percents[key] = min(99.0, 100 * share)
        if share >= 1:
            worker.end(key, "done")


def _running(workers: Iterable[TimedWorker]) -> Iterator[RunningMember]:
    for worker in workers:
        for key in worker.running:
            yield worker, key
