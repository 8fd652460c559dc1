"""Run agateferryd as a module."""

from agateferry_service.daemon.main import run

run()
