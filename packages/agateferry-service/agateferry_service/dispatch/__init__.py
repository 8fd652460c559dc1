"""Execution of attempts on workers, under leases."""
