"""What was accepted, what runs where and how it ended: the replicated state of jobs."""

from agateferry_jobs.ledger.ledger import Ledger
from agateferry_jobs.ledger.state import Job, JobState, Run, Subtask, WorkerIncarnation, WorkerState

__all__ = ["Job", "JobState", "Ledger", "Run", "Subtask", "WorkerIncarnation", "WorkerState"]
