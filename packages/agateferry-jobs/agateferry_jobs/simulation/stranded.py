"""How many accelerators are free while no waiting subtask can use them."""

from agateferry_jobs.ledger import Ledger
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.planning import Fleet, Plan, WorkerAllocation


class StrandedGpus:
    """Average over samples how many accelerators were stranded, while any work waited.

    The free accelerators of a worker are stranded if none of the subtasks that wait after a plan
    fits there, for lack of any resource. A worker that gets no starts is left out.
    """

    def __init__(self) -> None:
        self._total = 0
        self._samples = 0

    @property
    def mean(self) -> float:
        """Return the mean over all samples; without any work waiting a sample counts as 0."""
        return self._total / self._samples if self._samples else 0.0

    def sample(self, ledger: Ledger, fleet: Fleet, plan: Plan) -> None:
        """Count the stranded accelerators after a plan."""
        steps = _waiting_steps(ledger, plan)
        workers = [worker for group in fleet.by_service.values() for worker in group]
        self._samples += 1
        self._total += sum(_stranded(worker, steps) for worker in workers) if steps else 0


def _stranded(worker: WorkerAllocation, steps: list[StepSpec]) -> int:
    may_start = worker.is_ready and worker.health.may_start_runs
    if not may_start or any(worker.fits_now(step) for step in steps):
        return 0
    return max(0, worker.free.gpu)


def _waiting_steps(ledger: Ledger, plan: Plan) -> list[StepSpec]:
    """Return a step for each shape that waits."""
    started = {(start.job, start.subtask) for start in plan.starts}
    steps: dict[object, StepSpec] = {}
    for job in ledger.jobs.values():
        for name, subtask in job.subtasks.items() if not job.is_over else ():
            is_waiting = not subtask.is_done and subtask.active is None
            if is_waiting and (job.id, name) not in started:
                step = job.step_of(name)
                steps[step.need] = step
    return list(steps.values())
