"""Costs that one process can measure at the target size itself."""

import time
import tracemalloc
from dataclasses import dataclass, replace

from knapweedhinge.conf.node import PeerSettings
from knapweedhinge.peers.assignments import Assignments, owners
from knapweedhinge.peers.beacons import beacons_to_publish
from knapweedhinge.peers.dissemination import Dissemination
from knapweedhinge.peers.members import Member, encode_member
from knapweedhinge.peers.membership import Membership
from knapweedhinge.peers.topics import MEMBER
from knapweedhinge.peers.topology import Neighbours, neighbours, ring_count

ROUNDS = 20
STARTS = 20
RINGS = ring_count(PeerSettings().fanout)


@dataclass(frozen=True)
class PureReport:
    """Costs at one number of members; times in seconds of one core."""

    members: int
    regions: int
    failure_domains: int
    refresh_s: float
    owners_s: float
    heard_fraction_s: float
    bytes_per_member: float
    steps_mean: float
    steps_most: int
    cross_region_links: int


def measure_pure(count: int, domains: int, regions: int) -> PureReport:
    """Measure a fleet of this size that is only described, not run."""
    members = _members(count, domains, regions)
    bytes_per_member, membership = _memory(members)
    view, now = membership.view(), 100.0
    assignments = Assignments()

    def refresh() -> None:
        assignments.update(view.active)
        beacons_to_publish(view.me, view.fleet)
        neighbours(view.me, view.active, RINGS)

    links = {m.vm: neighbours(m, view.active, RINGS) for m in members}
    joined = _both_ways(links)
    steps = [_steps(joined, members[i * count // STARTS].vm) for i in range(STARTS)]
    return PureReport(
        members=count,
        regions=regions,
        failure_domains=domains,
        refresh_s=_seconds(refresh),
        owners_s=_seconds(lambda: owners(view.active, "role", "key", 2)),
        heard_fraction_s=_seconds(lambda: membership.view().heard_fraction(now)),
        bytes_per_member=bytes_per_member,
        steps_mean=sum(steps) / len(steps),
        steps_most=max(steps),
        cross_region_links=sum(len(found.gateways) for found in links.values()),
    )


def _members(count: int, domains: int, regions: int) -> list[Member]:
    return [
        Member(
            vm=f"vm-{index:04}",
            incarnation=1_764_800_000_000 + index,
            ip=f"10.0.{index // 250}.{index % 250}",
            peer_port=9000,
            http_port=8000,
            failure_domain=f"fd-{index % domains:02}",
            region=f"region-{index % domains % regions}",
        )
        for index in range(count)
    ]


def _memory(members: list[Member]) -> tuple[float, Membership]:
    """Return the bytes a member takes in the store and the membership."""
    payloads = [encode_member(member) for member in members]
    tracemalloc.start()
    membership = Membership(members[0], PeerSettings())
    dissemination = Dissemination(members[0].vm, 1, members[0].region)
    for member, payload in zip(members, payloads, strict=True):
        copy, data = replace(member, vm=member.vm[:2] + member.vm[2:]), bytes(payload)
        membership.apply(copy, 0.0)
        dissemination.publish(MEMBER, copy.vm, copy.version, data + b"", 0.0)
    membership.view()
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (taken + sum(map(len, payloads))) / len(members), membership


def _seconds(work) -> float:
    work()
    began = time.process_time()
    for _ in range(ROUNDS):
        work()
    return (time.process_time() - began) / ROUNDS


def _both_ways(links: dict[str, Neighbours]) -> dict[str, set[str]]:
    joined = {vm: {member.vm for member in links[vm].all} for vm in links}
    for vm, found in links.items():
        for member in found.all:
            joined[member.vm].add(vm)
    return joined


def _steps(joined: dict[str, set[str]], start: str) -> int:
    reached, frontier, steps = {start}, {start}, 0
    while True:
        found = {other for vm in frontier for other in joined[vm]} - reached
        if not found:
            return steps
        reached |= found
        frontier = found
        steps += 1
