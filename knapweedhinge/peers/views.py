"""Immutable views of the fleet as one node sees it.

A member counts as heard if there is recent evidence that it is connected to this node:
a message of its own, or a beacon of its failure domain or region.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property

from knapweedhinge.peers.members import Member, MemberState

NEVER = float("-inf")


@dataclass(frozen=True)
class Fleet:
    """All known records by VM, and the VMs whose roster row was deleted."""

    members: dict[str, Member]
    forgotten: frozenset[str]

    @cached_property
    def active(self) -> tuple[Member, ...]:
        """Return the members that may own keys, ordered by VM."""
        found = (member for member in self.members.values() if member.active)
        return tuple(sorted(found, key=lambda member: member.vm))

    @cached_property
    def expected(self) -> tuple[Member, ...]:
        """Return the members that neither left nor were removed, dead ones included."""
        return tuple(
            member
            for member in self.members.values()
            if member.state is not MemberState.LEAVING
            and member.vm not in self.forgotten
        )

    @cached_property
    def counts_by_location(self) -> dict[tuple[str, str], tuple[int, int]]:
        """Return the counts (expected, active) by (region, failure domain)."""
        counts: dict[tuple[str, str], tuple[int, int]] = {}
        for member in self.expected:
            location = (member.region, member.failure_domain)
            expected, active = counts.get(location, (0, 0))
            counts[location] = (expected + 1, active + member.active)
        return counts


@dataclass(frozen=True)
class LastHeard:
    """When each source was last known to be connected, in seconds of the local clock.

    ``members`` is keyed by VM and counts direct messages, ``failure_domains`` and
    ``regions`` count beacons. A message or beacon counts from when it was sent, the
    answer to a call from when the call was made.
    """

    members: dict[str, float]
    failure_domains: dict[str, float]
    regions: dict[str, float]


@dataclass(frozen=True)
class MembershipView:
    """The fleet and the last contacts with it, as known to a node at one moment.

    A member counts as heard if it is active and, within the last ``stale_after_s``
    seconds, either it sent a message itself or a beacon for it was sent. For a member
    of this node's region that is the beacon of its failure domain, for any other member
    the beacon of its region. The node itself is always heard.
    """

    me: Member
    fleet: Fleet
    last_heard: LastHeard
    stale_after_s: float

    @property
    def members(self) -> dict[str, Member]:
        """Return all known records by VM."""
        return self.fleet.members

    @property
    def active(self) -> tuple[Member, ...]:
        """Return the members that may own keys, ordered by VM."""
        return self.fleet.active

    def is_region_heard(self, region: str, now: float) -> bool:
        """Return whether a region sent a recent beacon; True for the own region."""
        if region == self.me.region:
            return True
        return self.last_heard.regions.get(region, NEVER) >= now - self.stale_after_s

    def is_heard(self, member: Member, now: float) -> bool:
        """Return whether a member is heard, as defined in the class's docstring."""
        if member.vm == self.me.vm:
            return True
        if not member.active:
            return False
        if self.last_heard.members.get(member.vm, NEVER) >= now - self.stale_after_s:
            return True
        return self._is_location_heard((member.region, member.failure_domain), now)

    def reachable(self, now: float) -> tuple[Member, ...]:
        """Return the active members that are heard."""
        return tuple(member for member in self.active if self.is_heard(member, now))

    def heard_fraction(self, now: float, region: str | None = None) -> float:
        """Return the fraction (0 to 1) of the expected members that are heard.

        Limited to one region if given. Takes time in proportion to the number of
        failure domains and of peers with direct contact.
        """
        total, heard = 0, 0
        unheard_locations = set()
        for location, (expected, active) in self.fleet.counts_by_location.items():
            if region is not None and location[0] != region:
                continue
            total += expected
            if self._is_location_heard(location, now):
                heard += active
            else:
                unheard_locations.add(location)
        heard += self._count_heard_directly(unheard_locations, now)
        return heard / total if total else 0.0

    def heard_by_region(self, now: float) -> dict[str, float]:
        """Return the fraction of heard members of each region."""
        regions = sorted({region for region, _ in self.fleet.counts_by_location})
        return {region: self.heard_fraction(now, region) for region in regions}

    def _is_location_heard(self, location: tuple[str, str], now: float) -> bool:
        region, domain = location
        if region == self.me.region:
            last = self.last_heard.failure_domains.get(domain, NEVER)
        else:
            last = self.last_heard.regions.get(region, NEVER)
        return last >= now - self.stale_after_s

    def _count_heard_directly(
        self, locations: Iterable[tuple[str, str]], now: float
    ) -> int:
        count = 0
        for vm in {*self.last_heard.members, self.me.vm}:
            member = self.members.get(vm)
            if member is None or vm in self.fleet.forgotten:
                continue
            if (member.region, member.failure_domain) in locations:
                count += self.is_heard(member, now)
        return count
