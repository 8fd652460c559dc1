"""Jobs of steps whose subtasks run on workers under leases."""
