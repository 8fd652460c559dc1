"""The leader of the cell: it alone decides, and every decision is in the replicated ledger."""
