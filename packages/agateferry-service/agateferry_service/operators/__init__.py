"""The operators' HTTP port: records, views of the zone, membership, health and metrics."""
