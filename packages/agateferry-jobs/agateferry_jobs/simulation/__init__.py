"""Days of jobs played in virtual time against the ledger and a policy, without processes."""
