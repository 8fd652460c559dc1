"""Helpers for the tests of jobs: an in-memory worker, an in-memory replica and builders."""

from agateferry_jobs.support.builders import job_command, manifest, start_of, worker
from agateferry_jobs.support.model_worker import ModelWorker
from agateferry_jobs.support.replica import MemoryReplica

__all__ = ["MemoryReplica", "ModelWorker", "job_command", "manifest", "start_of", "worker"]
