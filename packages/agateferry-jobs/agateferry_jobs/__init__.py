"""Scheduling of jobs: their steps consist of subtasks, which run on workers under leases."""
