"""The schedulers of a zone: they take events and return decisions."""
