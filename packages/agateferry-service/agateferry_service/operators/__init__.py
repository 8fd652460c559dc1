"""The operators' port: records, views of the zone, health and metrics."""
