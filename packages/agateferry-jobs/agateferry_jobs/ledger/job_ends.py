"""What the end of a run or the end of a job changes in the job's record."""

from agateferry_jobs.ledger.commands import RunEnded
from agateferry_jobs.ledger.job_progress import JobProgress
from agateferry_jobs.ledger.state import Job, gang_of


def mark_done(job: Job, progress: JobProgress | None, end: RunEnded) -> None:
    """Mark a subtask as done, and with it all members of its gang.

    A job that is over has no progress.
    """
    if job.subtasks[end.subtask].is_done and not job.crashes:
        return
    names = [end.subtask]
    if job.step_of(end.subtask).is_gang:
        names = job.members(gang_of(end.subtask))
    for name in names:
        if name in job.subtasks:
            job.subtasks[name].is_done = True
            if progress is not None:
                progress.record_done(name)
            job.crashes.pop(name, None)


def update_job_end(job: Job, progress: JobProgress, ended: str, at_ms: int) -> None:
    """Mark a job as completed or failed if the end of a subtask's run makes it so."""
    if not progress.undone:
        job.is_completed = True
        job.ended_ms = at_ms
        return
    subtask, step = job.subtasks[ended], job.step_of(ended)
    if subtask.is_done or step.is_long_running:
        return
    if not step.is_gang:
        if subtask.failures >= job.attempts:
            _fail_for(job, ended, subtask.failures, at_ms)
        return
    gang = gang_of(ended)
    failures = job.gangs[gang].failures if gang in job.gangs else 0
    if failures >= job.attempts:
        first = next(name for name in job.members(gang) if job.subtasks[name].last_run)
        _fail_for(job, first, failures, at_ms)


def _fail_for(job: Job, name: str, failures: int, at_ms: int) -> None:
    fail(job, f"subtask {name} failed {failures} times", at_ms)


def fail(job: Job, reason: str, at_ms: int) -> None:
    """Mark a job as failed, with the reason for its caller."""
    job.is_failed = True
    job.failure = reason
    job.ended_ms = at_ms


def drop_inactive_subtasks(job: Job) -> None:
    """Remove the subtasks without an active run, whose state is no longer needed."""
    job.subtasks = {name: s for name, s in job.subtasks.items() if s.active is not None}
