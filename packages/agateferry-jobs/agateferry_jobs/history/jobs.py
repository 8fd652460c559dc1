"""Jobs and their runs, reconstructed from the log lines of the leaders."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.cell import events
from agateferry_jobs.history.lines import LogLine
from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.ledger.state import step_number

_STEP_SUMMARY = re.compile(r"(\d+)x(\d+)c\d+m(\d+)g.*~(\d+)")
"""The count, thousandths of a core, accelerators and declared ms in a step of a job accepted."""


@dataclass(slots=True)
class RunHistory:
    """One run of a subtask; times are in ms since the Unix epoch.

    `ended_ms` is None and `outcome` empty if the logs do not contain the end of the run.
    """

    placed_ms: int
    worker: str
    ended_ms: int | None = None
    outcome: str = ""
    loss: str = ""
    """What became of the worker of a lost run; empty for other outcomes and in older logs."""
    stop_reason: str = ""
    """Why the run was stopped; after a preemption, with the rank of the job that preempted it."""
    stopped_for: str = ""
    """The id of the job that preempted the run; empty if none did."""
    has_checkpoint: bool = False
    """Whether the next run can start from a checkpoint of this one."""

    @property
    def is_lost(self) -> bool:
        """Return whether it is known to have ended other than as done."""
        return self.ended_ms is not None and self.outcome != "done"


@dataclass(slots=True)
class JobHistory:
    """One job with its runs by name of the subtask and number of the run.

    `objective_ms` is the time from acceptance to end that the job should take at most. `ended_ms`
    is None and `state` empty if the logs do not contain the end of the job.
    """

    id: str
    queue: str
    accepted_ms: int
    objective_ms: int
    gpus: tuple[int, ...]
    """The number of accelerators of one subtask, for each step."""
    team: str = ""
    declared_core_s: float = 0.0
    """The work that the caller declared, in core-seconds; an accelerator counts as 8 cores."""
    runs: dict[str, dict[int, RunHistory]] = field(default_factory=dict)
    ended_ms: int | None = None
    state: str = ""

    def end_ms(self, until_ms: int) -> int:
        """Return when the job ended, or `until_ms` if the logs do not contain its end."""
        return self.ended_ms if self.ended_ms is not None else until_ms

    def is_in_time(self, until_ms: int) -> bool:
        """Return whether the job completed within its objective."""
        took_ms = self.end_ms(until_ms) - self.accepted_ms
        return self.state != "failed" and took_ms <= self.objective_ms

    def gpus_of(self, subtask: str) -> int:
        """Return the number of accelerators of a subtask, named `OCCURRENCE.STEP.INDEX`."""
        step = step_number(subtask)
        return self.gpus[step] if step < len(self.gpus) else 0


def collect_jobs(lines: Iterable[LogLine]) -> dict[str, JobHistory]:
    """Return the jobs by id; a job is left out if the logs do not contain its acceptance."""
    jobs: dict[str, JobHistory] = {}
    for line in lines:
        if line.number == events.JOB_ACCEPTED.number:
            _accept(jobs, line)
        job = jobs.get(str(line.fields.get("job")))
        if job is not None:
            _update_job(job, line)
    return jobs


def _accept(jobs: dict[str, JobHistory], line: LogLine) -> None:
    fields = line.fields
    steps = [_parse_step(str(summary)) for summary in fields.get("steps", ())]
    job = JobHistory(
        fields["job"],
        fields.get("queue", ""),
        line.at_ms,
        fields.get("objective_ms", 0),
        tuple(gpus for gpus, _ in steps),
        fields.get("team", ""),
        sum(core_s for _, core_s in steps),
    )
    jobs.setdefault(job.id, job)


def _parse_step(summary: str) -> tuple[int, float]:
    """Return the accelerators of a subtask and the declared core-seconds of a step."""
    found = _STEP_SUMMARY.search(summary)
    if found is None:
        return 0, 0.0
    count, millicores, gpus, declared_ms = (int(text) for text in found.groups())
    cores = Resources(cpu=millicores, gpu=gpus).weighted_cores
    return gpus, count * cores * declared_ms / MS_PER_S


def _update_job(job: JobHistory, line: LogLine) -> None:
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
            _update_run(found, line)


def _update_run(run: RunHistory, line: LogLine) -> None:
    fields = line.fields
    if line.number == events.RUN_ENDED.number:
        run.ended_ms, run.outcome = line.at_ms, str(fields.get("how", ""))
        run.loss = str(fields.get("loss", ""))
        run.has_checkpoint = bool(fields.get("saved", False))
    else:
        run.stopped_for = str(fields.get("for_job", ""))
        rank = fields.get("for_rank")
        run.stop_reason = f"{fields.get('reason', '')}{'' if rank is None else f' for rank {rank}'}"
