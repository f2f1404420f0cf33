"""Measurements and experiments; each prints a table and can write JSON."""
