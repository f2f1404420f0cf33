"""State of the peer layer for dumps."""

from dataclasses import dataclass

from knapweedhinge.peers.members import Member
from knapweedhinge.peers.traffic import TrafficCount


@dataclass(frozen=True)
class TopicState:
    """The number of stored entries of a topic and the bytes pushed so far."""

    entries: int
    pushed_bytes: int


@dataclass(frozen=True)
class PeersState:
    """The state of one node's peer layer, for dumps.

    ``heard`` is the fraction (0 to 1) of the expected members with recent contact, and
    ``self_doubt`` the health score of this node, 0 if healthy. ``linked`` are the VMs
    with an open link. ``counts`` (calls) and ``faults`` (refusals) are totals since
    the start.
    """

    me: Member
    superseded: bool
    members: tuple[Member, ...]
    forgotten: tuple[str, ...]
    heard: float
    heard_by_region: dict[str, float]
    neighbours: tuple[str, ...]
    linked: tuple[str, ...]
    self_doubt: int
    topics: dict[str, TopicState]
    stored_bytes: int
    evicted: int
    counts: dict[str, TrafficCount]
    faults: dict[str, int]
    roster_reads: int
    roster_writes: int
