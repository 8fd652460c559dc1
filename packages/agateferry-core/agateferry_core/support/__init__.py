"""Helpers for the tests of all packages."""

from agateferry_core.support.support import (
    VirtualLoop,
    eventually,
    free_port,
    free_ports,
    run_async,
    run_virtual,
    wait_until,
)

__all__ = [
    "VirtualLoop",
    "eventually",
    "free_port",
    "free_ports",
    "run_async",
    "run_virtual",
    "wait_until",
]
