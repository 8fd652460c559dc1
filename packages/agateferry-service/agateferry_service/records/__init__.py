"""Operators' records: the plane that agrees on them and the zones that follow it."""
