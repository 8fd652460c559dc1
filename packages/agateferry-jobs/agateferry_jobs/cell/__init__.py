"""The leader of the cell: it alone decides, and each decision is in the replicated ledger."""
