"""The host of a cell, and the log events of both roles."""
