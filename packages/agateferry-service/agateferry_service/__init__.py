"""The agateferryd daemon: callers, requests, endpoints and operators."""

__version__ = "0.1.0"
