"""Generated messages and stubs of the protocols between entry hosts."""
