"""Which waiting request comes next."""
