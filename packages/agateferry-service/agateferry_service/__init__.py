"""The agateferryd daemon, which runs on every entry host."""

__version__ = "0.1.0"
