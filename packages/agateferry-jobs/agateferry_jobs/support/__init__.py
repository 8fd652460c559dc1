"""Helpers for the tests of jobs: a model of a worker, a replica in memory, and short makers."""

from agateferry_jobs.support.making import job_command, manifest, start_of, worker
from agateferry_jobs.support.model_worker import ModelWorker
from agateferry_jobs.support.replica import MemoryReplica

__all__ = ["MemoryReplica", "ModelWorker", "job_command", "manifest", "start_of", "worker"]
