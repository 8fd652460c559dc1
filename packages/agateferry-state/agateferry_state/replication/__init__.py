"""Agreement on one log among the members of a cell, as a core that does no I/O."""
