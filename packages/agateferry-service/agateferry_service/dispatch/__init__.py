"""Running attempts on workers under leases."""
