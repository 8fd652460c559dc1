"""The replicated state of jobs: which were accepted, where they run and how they ended."""

from agateferry_jobs.ledger.ledger import Ledger
from agateferry_jobs.ledger.state import Job, JobState, Run, Subtask, WorkerIncarnation, WorkerState

__all__ = ["Job", "JobState", "Ledger", "Run", "Subtask", "WorkerIncarnation", "WorkerState"]
