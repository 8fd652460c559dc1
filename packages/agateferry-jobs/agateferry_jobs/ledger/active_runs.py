"""The active runs of all jobs, by subtask and by worker."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

from agateferry_jobs.ledger.state import Job, Run, RunKey, WorkerKey, gang_of, numbers_in


class ActiveRuns:
    """The active runs of the ledger; nothing that asks for them has to look at all subtasks."""

    def __init__(self, jobs: Iterable[Job] = ()) -> None:
        self.by_key: dict[RunKey, Run] = {}
        self._by_worker: dict[WorkerKey, set[RunKey]] = defaultdict(set)
        self._by_gang: dict[tuple[str, str], Counter[WorkerKey]] = defaultdict(Counter)
        for job in jobs:
            for name, subtask in job.subtasks.items():
                if subtask.active is not None:
                    self.add((job.id, name), subtask.active)

    def add(self, key: RunKey, run: Run) -> None:
        """Add the run that has become a subtask's active one."""
        self.by_key[key] = run
        self._by_worker[run.worker_key].add(key)
        self._by_gang[key[0], gang_of(key[1])][run.worker_key] += 1

    def remove(self, key: RunKey) -> None:
        """Remove a subtask's active run."""
        run = self.by_key.pop(key)
        keys = self._by_worker[run.worker_key]
        keys.discard(key)
        if not keys:
            del self._by_worker[run.worker_key]
        gang = (key[0], gang_of(key[1]))
        counts = self._by_gang[gang]
        counts[run.worker_key] -= 1
        if not counts[run.worker_key]:
            del counts[run.worker_key]
        if not counts:
            del self._by_gang[gang]

    def in_order(self, jobs: Iterable[str]) -> Iterator[tuple[RunKey, Run]]:
        """Return all active runs, by the order of these ids of jobs, then that of subtasks."""
        by_job: dict[str, list[str]] = defaultdict(list)
        for id, name in self.by_key:
            by_job[id].append(name)
        for id in list(jobs):
            for name in sorted(by_job.get(id, ()), key=numbers_in):
                run = self.by_key.get((id, name))
                if run is not None:
                    yield (id, name), run

    def workers_of(self, job: Job, gang: str) -> list[WorkerKey]:
        """Return the incarnations with active runs of one step and occurrence, each once."""
        return list(self._by_gang.get((job.id, gang), ()))

    def on(self, worker: WorkerKey) -> list[RunKey]:
        """Return the subtasks with an active run on an incarnation, in a fixed order."""
        return sorted(self._by_worker.get(worker, ()))
