"""What to take back, and for whom."""
