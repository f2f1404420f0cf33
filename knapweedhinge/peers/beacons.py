"""Beacons: proof that a failure domain or a region is still connected.

Two members of each domain speak for it within their region, two of each region for
the region within the fleet. So a node knows what it hears without a message from
every other one.
"""

from dataclasses import dataclass

from knapweedhinge.peers.assignments import owners
from knapweedhinge.peers.members import Member, MemberState
from knapweedhinge.peers.topics import DOMAIN_BEACON, REGION_BEACON
from knapweedhinge.peers.views import Fleet

BEACON_INTERVAL_S = 1.0
PUBLISHERS_PER_PLACE = 2


@dataclass(frozen=True)
class Beacon:
    """A beacon to publish: its topic and the place it speaks for."""

    topic: str
    place: str


class BeaconSchedule:
    """Which beacons a node publishes, and when."""

    def __init__(self):
        self._next = 0.0
        self._own_beacons: tuple[Beacon, ...] = ()

    def update(self, me: Member, fleet: Fleet) -> None:
        """Take a changed fleet; suspects speak for nobody."""
        self._own_beacons = held(me, fleet)

    def due(self, now: float) -> tuple[Beacon, ...]:
        """Return the beacons to publish now."""
        if now < self._next:
            return ()
        self._next = now + BEACON_INTERVAL_S
        return self._own_beacons


def held(me: Member, fleet: Fleet) -> tuple[Beacon, ...]:
    """Return the beacons that a node is to publish."""
    alive = [m for m in fleet.active if m.state is MemberState.ALIVE]
    domain = owners(
        alive,
        DOMAIN_BEACON,
        me.failure_domain,
        PUBLISHERS_PER_PLACE,
        failure_domain=me.failure_domain,
    )
    region = owners(
        alive,
        REGION_BEACON,
        me.region,
        PUBLISHERS_PER_PLACE,
        distinct_failure_domains=True,
        region=me.region,
    )
    found = []
    if any(member.vm == me.vm for member in domain):
        found.append(Beacon(DOMAIN_BEACON, me.failure_domain))
    if any(member.vm == me.vm for member in region):
        found.append(Beacon(REGION_BEACON, me.region))
    return tuple(found)
