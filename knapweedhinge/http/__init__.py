"""Serve the HTTP interfaces for callers and for operators.

In this package ``raw`` is the request as aiohttp delivers it, and ``req`` the request
that the filters work with.
"""
