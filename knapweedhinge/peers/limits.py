"""Limits on what a node holds for its peers."""

from dataclasses import dataclass

MEBIBYTE = 1024 * 1024


@dataclass(frozen=True)
class PeerLimits:
    """Limits on all connections of a node with its peers together.

    ``max_held_bytes`` is for messages that are not complete, calls that run and what
    peers have not read, and as much again for gossip entries. ``max_links`` is the
    number of connections.
    """

    max_held_bytes: int = 64 * MEBIBYTE
    max_links: int = 2_048
