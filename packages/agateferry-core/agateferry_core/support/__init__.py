"""Helpers for the tests of every package."""

from agateferry_core.support.support import free_port, run_async, wait_until

__all__ = ["free_port", "run_async", "wait_until"]
