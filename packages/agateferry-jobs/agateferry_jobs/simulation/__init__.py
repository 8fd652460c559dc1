"""Simulate days of jobs in virtual time with the real ledger and a policy, in one process."""
