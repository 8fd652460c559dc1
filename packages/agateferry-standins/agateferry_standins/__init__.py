"""Stand-in workers, balancer and callers for the demo, measurements and tests."""

__version__ = "0.1.0"
