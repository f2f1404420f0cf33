"""Measurements of the choice of endpoints and of admission control."""
