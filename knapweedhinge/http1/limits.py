"""Limits of requests and clients."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of each request and of all clients together; times in seconds.

    ``header_timeout_s`` runs from the first byte of a request to the end of its
    headers. ``idle_timeout_s`` is the longest time in which no data arrives, between
    requests or in the body of one. ``unread_timeout_s`` is the longest time in which
    a client reads nothing of an answer that waits for it.
    ``max_header_bytes`` includes the request target, ``max_fields`` is the number of
    header fields. ``max_connections`` and ``max_held_bytes`` apply to all clients of
    all servers with the same account. The latter bounds what is held for them: heads,
    bodies, requests ahead and answers not read.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    unread_timeout_s: float = 60.0
    max_fields: int = 4096
    max_connections: int = 4096
    max_held_bytes: int = 64 * 1024 * 1024
