"""Costs of membership and dissemination that need no running fleet.

One process can measure them at the full target size.
"""

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

TIMED_ROUNDS = 20  # calls that one mean is taken over
PUSH_ORIGINS = 20  # nodes from which the steps of a push are counted
RINGS = ring_count(PeerSettings().fanout)


@dataclass(frozen=True)
class InProcessReport:
    """Costs at one number of members; times are CPU seconds of one core.

    ``refresh_s`` is the update of assignments and neighbours after a membership change,
    ``owners_s`` the choice of the owners of a key and ``heard_fraction_s`` the
    computation of the share of members heard from. ``steps_mean`` and ``steps_most``
    count the hops until a pushed entry has reached all members.
    """

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


def measure_in_process(count: int, domains: int, regions: int) -> InProcessReport:
    """Measure the costs for this many members, without running them as nodes."""
    members = _members(count, domains, regions)
    bytes_per_member, membership = _memory(members)
    view, now = membership.view(), 100.0
    assignments = Assignments()

    def refresh() -> None:
        assignments.update(view.active)
        beacons_to_publish(view.me, view.fleet)
        neighbours(view.me, view.active, RINGS)

    links = {m.vm: neighbours(m, view.active, RINGS) for m in members}
    linked = _bidirectional(links)
    steps = [
        _push_steps(linked, members[i * count // PUSH_ORIGINS].vm)
        for i in range(PUSH_ORIGINS)
    ]
    return InProcessReport(
        members=count,
        regions=regions,
        failure_domains=domains,
        refresh_s=_mean_cpu_s(refresh),
        owners_s=_mean_cpu_s(lambda: owners(view.active, "role", "key", 2)),
        heard_fraction_s=_mean_cpu_s(lambda: membership.view().heard_fraction(now)),
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
    """Return the bytes of memory for each member, and the membership of all."""
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


def _mean_cpu_s(work) -> float:
    work()
    started_at = time.process_time()
    for _ in range(TIMED_ROUNDS):
        work()
    return (time.process_time() - started_at) / TIMED_ROUNDS


def _bidirectional(links: dict[str, Neighbours]) -> dict[str, set[str]]:
    linked = {vm: {member.vm for member in links[vm].all} for vm in links}
    for vm, found in links.items():
        for member in found.all:
            linked[member.vm].add(vm)
    return linked


def _push_steps(linked: dict[str, set[str]], start: str) -> int:
    reached, frontier, steps = {start}, {start}, 0
    while True:
        found = {other for vm in frontier for other in linked[vm]} - reached
        if not found:
            return steps
        reached |= found
        frontier = found
        steps += 1
