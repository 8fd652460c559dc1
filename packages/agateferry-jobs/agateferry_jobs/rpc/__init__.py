"""Generated code for the calls between hosts; see `make generate`."""
