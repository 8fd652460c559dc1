"""The callers' port: requests in, whole answers out."""
