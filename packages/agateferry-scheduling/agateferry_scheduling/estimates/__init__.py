"""How long work really runs, learned from what it declared."""
