"""The jobs of a day and their runs, as the leaders' lines tell of them."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from agateferry_jobs.cell import events
from agateferry_jobs.history.lines import Line
from agateferry_jobs.ledger.state import step_number

_GPUS = re.compile(r"(\d+)g")


@dataclass(slots=True)
class RunHistory:
    """One run of a subtask; times in ms since the Unix epoch, None where no line tells."""

    placed_ms: int
    worker: str
    ended_ms: int | None = None
    how: str = ""
    stopped_for: str = ""
    """Why it was stopped: the reason, and the rank of the job that it gave way to."""


@dataclass(slots=True)
class JobHistory:
    """One job: when it came, what it needs, its runs by subtask and number, and how it ended."""

    id: str
    queue: str
    accepted_ms: int
    objective_ms: int
    gpus: tuple[int, ...]
    """The accelerators of a subtask of each step."""
    runs: dict[str, dict[int, RunHistory]] = field(default_factory=dict)
    ended_ms: int | None = None
    state: str = ""

    def last_ms(self, until_ms: int) -> int:
        """Return when the job ended, or `until_ms` where no line tells of an end."""
        return self.ended_ms if self.ended_ms is not None else until_ms

    def gpus_of(self, subtask: str) -> int:
        """Return the accelerators of a subtask `K.STEP.INDEX`."""
        step = step_number(subtask)
        return self.gpus[step] if step < len(self.gpus) else 0


def collect(lines: Iterable[Line]) -> dict[str, JobHistory]:
    """Return the jobs by id; a job whose first line is missing is left out."""
    jobs: dict[str, JobHistory] = {}
    for line in lines:
        if line.number == events.JOB_ACCEPTED.number:
            _accept(jobs, line)
        job = jobs.get(str(line.fields.get("job")))
        if job is not None:
            _note(job, line)
    return jobs


def _accept(jobs: dict[str, JobHistory], line: Line) -> None:
    fields = line.fields
    shapes = [str(shape) for shape in fields.get("steps", ())]
    gpus = tuple(int(found[1]) if (found := _GPUS.search(shape)) else 0 for shape in shapes)
    job = JobHistory(
        fields["job"], fields.get("queue", ""), line.at_ms, fields.get("objective_ms", 0), gpus
    )
    jobs.setdefault(job.id, job)


def _note(job: JobHistory, line: Line) -> None:
    fields = line.fields
    if line.number == events.JOB_ENDED.number:
        job.ended_ms, job.state = line.at_ms, str(fields.get("state", ""))
    elif line.number == events.JOB_CANCELLED.number:
        job.ended_ms, job.state = line.at_ms, "cancelled"
    elif line.number == events.RUN_STARTED.number:
        run = RunHistory(line.at_ms, str(fields.get("worker", "")))
        job.runs.setdefault(fields["subtask"], {})[fields["run"]] = run
    elif line.number in (events.RUN_ENDED.number, events.RUN_STOPPING.number):
        found = job.runs.get(fields["subtask"], {}).get(fields["run"])
        if found is not None:
            _note_run(found, line)


def _note_run(run: RunHistory, line: Line) -> None:
    fields = line.fields
    if line.number == events.RUN_ENDED.number:
        run.ended_ms, run.how = line.at_ms, str(fields.get("how", ""))
    else:
        rank = fields.get("for_rank")
        run.stopped_for = f"{fields.get('reason', '')}{'' if rank is None else f' for rank {rank}'}"
