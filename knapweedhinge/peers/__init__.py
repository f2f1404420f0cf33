"""Node-to-node layer: membership, gossip, key assignments and RPC calls."""

from knapweedhinge.peers.assignments import (
    Assignments,
    owners,
    watchers,
)
from knapweedhinge.peers.entries import Entry
from knapweedhinge.peers.members import Member, MemberState
from knapweedhinge.peers.roster import RosterTable
from knapweedhinge.peers.runtime import rpc_loop
from knapweedhinge.peers.service import Peers
from knapweedhinge.peers.state import PeersState
from knapweedhinge.peers.views import MembershipView

__all__ = [
    "Assignments",
    "Entry",
    "Member",
    "MemberState",
    "MembershipView",
    "Peers",
    "PeersState",
    "RosterTable",
    "owners",
    "rpc_loop",
    "watchers",
]
