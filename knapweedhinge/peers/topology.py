"""Choice of the peers that a node keeps connections to.

The members of a region form several hash rings, each in a different order, and a node
connects to its successor on each ring. Connections carry entries both ways, so a node
on two rings has four peers and forwards a change to three of them. A change reaches
all members in about log(n) hops. Between two regions, gossip flows over at most two
links, whose ends are gateways in different failure domains where possible.
"""

from dataclasses import dataclass
from functools import lru_cache

import xxhash

from knapweedhinge.peers.assignments import owners
from knapweedhinge.peers.members import Member

GATEWAYS_PER_REGION_PAIR = 2
MAX_CACHED_POSITIONS = 8_192  # positions of VMs on rings, one per VM and ring


@dataclass(frozen=True)
class Neighbours:
    """The peers that a node probes and pushes changes to.

    ``region`` are those in its own region, ``gateways`` those in other regions.
    """

    region: tuple[Member, ...]
    gateways: tuple[Member, ...]

    @property
    def all(self) -> tuple[Member, ...]:
        """Return the neighbours in the own region and in other regions."""
        return self.region + self.gateways


def ring_count(fanout: int) -> int:
    """Return the number of rings with which a node forwards to ``fanout`` peers."""
    return (fanout + 2) // 2


def neighbours(me: Member, active: tuple[Member, ...], count: int) -> Neighbours:
    """Return the neighbours of a node: one per ring, and its gateway peers.

    ``count`` is the number of rings.
    """
    by_region: dict[str, list[Member]] = {me.region: [me]}
    for member in active:
        if member.vm != me.vm:
            by_region.setdefault(member.region, []).append(member)
    local = by_region[me.region]
    return Neighbours(_successors(me, local, count), _gateway_peers(me, by_region))


def _successors(me: Member, local: list[Member], count: int) -> tuple[Member, ...]:
    found: dict[str, Member] = {}
    others = [member for member in local if member.vm != me.vm]
    if len(others) <= count:
        return tuple(sorted(others, key=lambda member: member.vm))
    for ring in range(count):
        successor = _successor(me, others, ring, found)
        found[successor.vm] = successor
    return tuple(found.values())


def _successor(me: Member, others: list[Member], ring: int, taken: dict) -> Member:
    own_position = _position(me.vm, ring)
    ring_size = 1 << 64
    candidates = (member for member in others if member.vm not in taken)
    return min(
        candidates,
        key=lambda m: ((_position(m.vm, ring) - own_position) % ring_size, m.vm),
    )


@lru_cache(maxsize=MAX_CACHED_POSITIONS)
def _position(vm: str, ring: int) -> int:
    return xxhash.xxh3_64_intdigest(vm.encode(), seed=ring + 1)


def _gateway_peers(
    me: Member, by_region: dict[str, list[Member]]
) -> tuple[Member, ...]:
    """Return this node's peers in the regions to which it is a gateway.

    The first gateway of one region connects to the first of the other, and so on.
    """
    found: dict[str, Member] = {}
    for region in sorted(by_region):
        if region == me.region:
            continue
        index = _gateway_index(me, _gateways_towards(by_region[me.region], region))
        if index is not None:
            their_gateways = _gateways_towards(by_region[region], me.region)
            peer = their_gateways[index % len(their_gateways)]
            found[peer.vm] = peer
    return tuple(found.values())


def _gateway_index(me: Member, own_gateways: tuple[Member, ...]) -> int | None:
    vms = [own_gateway.vm for own_gateway in own_gateways]
    return vms.index(me.vm) if me.vm in vms else None


def _gateways_towards(members: list[Member], region: str) -> tuple[Member, ...]:
    return owners(
        members,
        "gateway",
        region,
        GATEWAYS_PER_REGION_PAIR,
        distinct_failure_domains=True,
    )
