"""Which shapes each team is promised, and where they can be laid out."""
