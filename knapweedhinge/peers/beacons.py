"""Beacons: heartbeats on behalf of a whole failure domain or region.

Two members of each failure domain publish its beacon within their region, and two
members of each region publish the region's beacon to the fleet. A node can therefore
tell which domains and regions it is connected to without a heartbeat from every
member.
"""

from dataclasses import dataclass

from knapweedhinge.peers.assignments import owners
from knapweedhinge.peers.members import Member, MemberState
from knapweedhinge.peers.topics import DOMAIN_BEACON, REGION_BEACON
from knapweedhinge.peers.views import Fleet

BEACON_INTERVAL_S = 1.0  # between two publications by the same node
PUBLISHERS_PER_BEACON = 2


@dataclass(frozen=True)
class Beacon:
    """A beacon to publish.

    ``place`` is the name of the failure domain or region that it is for, depending on
    the topic.
    """

    topic: str
    place: str


class BeaconSchedule:
    """Decides which beacons a node publishes, and when."""

    def __init__(self):
        self._next_publish_at = 0.0
        self._own_beacons: tuple[Beacon, ...] = ()

    def update(self, me: Member, fleet: Fleet) -> None:
        """Recompute the node's beacons; suspected members publish none."""
        self._own_beacons = beacons_to_publish(me, fleet)

    def due(self, now: float) -> tuple[Beacon, ...]:
        """Return the beacons to publish now; empty until the interval has passed."""
        if now < self._next_publish_at:
            return ()
        self._next_publish_at = now + BEACON_INTERVAL_S
        return self._own_beacons


def beacons_to_publish(me: Member, fleet: Fleet) -> tuple[Beacon, ...]:
    """Return the beacons that a node must publish as one of their owners."""
    alive = [m for m in fleet.active if m.state is MemberState.ALIVE]
    domain = owners(
        alive,
        DOMAIN_BEACON,
        me.failure_domain,
        PUBLISHERS_PER_BEACON,
        failure_domain=me.failure_domain,
    )
    region = owners(
        alive,
        REGION_BEACON,
        me.region,
        PUBLISHERS_PER_BEACON,
        distinct_failure_domains=True,
        region=me.region,
    )
    found = []
    if any(member.vm == me.vm for member in domain):
        found.append(Beacon(DOMAIN_BEACON, me.failure_domain))
    if any(member.vm == me.vm for member in region):
        found.append(Beacon(REGION_BEACON, me.region))
    return tuple(found)
