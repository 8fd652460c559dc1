"""The parts of the two roles, in the order in which they start and stop."""
