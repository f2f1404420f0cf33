"""Adapter to the users' platform, and the only package that uses its names.

It converts the platform's settings template into settings, rows of its store into
events, and HTTP headers into calls. Decisions, state and recovery belong to the other
packages.
"""
