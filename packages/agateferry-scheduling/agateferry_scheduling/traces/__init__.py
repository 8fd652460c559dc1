"""Recorded events, their replay and what is measured of it."""
