"""The replicated cell of one availability zone: its state machine and its leader."""
