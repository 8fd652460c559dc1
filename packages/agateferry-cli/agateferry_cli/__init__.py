"""The agateferry command line for operators and callers."""

__version__ = "0.1.0"
