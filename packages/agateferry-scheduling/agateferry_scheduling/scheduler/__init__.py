"""The scheduler's one entry: events in, decisions out."""
