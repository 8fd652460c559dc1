"""What the end of a run or the end of a job changes in the job's record."""

from agateferry_jobs.ledger.commands import RunEnded
from agateferry_jobs.ledger.state import Job, gang_of


def mark_done(job: Job, end: RunEnded) -> None:
    """Mark a subtask as done, and with it all members of its gang."""
    names = [end.subtask]
    if job.step_of(end.subtask).is_gang:
        names = job.members(gang_of(end.subtask))
    for name in names:
        if name in job.subtasks:
            job.subtasks[name].is_done = True
            job.crashes.pop(name, None)


def update_job_end(job: Job, at_ms: int) -> None:
    """Mark a job as completed or failed if its subtasks say so."""
    if job.is_over:
        return
    if all(subtask.is_done for subtask in job.subtasks.values()):
        job.is_completed = True
        job.ended_ms = at_ms
        return
    for name, subtask in job.subtasks.items():
        step = job.step_of(name)
        if subtask.is_done or step.is_long_running:
            continue
        failures = subtask.failures
        if step.is_gang and subtask.last_run:
            failures = job.gangs[gang_of(name)].failures
        if failures >= job.attempts:
            fail(job, f"subtask {name} failed {failures} times", at_ms)
            return


def fail(job: Job, reason: str, at_ms: int) -> None:
    """Mark a job as failed, with the reason for its caller."""
    job.is_failed = True
    job.failure = reason
    job.ended_ms = at_ms


def drop_inactive_subtasks(job: Job) -> None:
    """Remove the subtasks without an active run, whose state is no longer needed."""
    job.subtasks = {name: s for name, s in job.subtasks.items() if s.active is not None}
