"""Adapter to the platform on which the users run nodes and endpoints.

Only this package uses the platform's names of headers, paths, message fields and
environment variables. It converts the platform's settings template into settings, rows
of its store into events, and HTTP headers into calls. Decisions, state and recovery
belong to the other packages.
"""
