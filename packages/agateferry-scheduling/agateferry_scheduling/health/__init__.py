"""Which workers and jobs fail."""
