"""One availability zone's cell: its state machine, and what its leader does."""
