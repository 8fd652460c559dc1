"""Generated messages and service of the replication traffic between hosts."""
