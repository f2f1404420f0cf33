"""The overlay network between nodes, up to the intended fleet size."""

from collections import Counter
from functools import cache

import pytest

from knapweedhinge.peers.topology import neighbours, ring_count
from tests.peers.conftest import make_member

RINGS = ring_count(3)


@cache
def overlay(count, domains, regions, dead=frozenset()):
    members = [
        make_member(i, domains=domains, regions=regions)
        for i in range(count)
        if i not in dead
    ]
    return {m.vm: neighbours(m, tuple(members), RINGS) for m in members}


def both_ways(links):
    joined = {vm: {m.vm for m in found.all} for vm, found in links.items()}
    for vm, found in links.items():
        for member in found.all:
            joined[member.vm].add(vm)
    return joined


def steps_to_all(links, start):
    joined = both_ways(links)
    reached, frontier, steps = {start}, {start}, 0
    while frontier:
        found = {other for vm in frontier for other in joined[vm]} - reached
        reached |= found
        frontier = found
        steps += bool(found)
    return len(reached), steps


@pytest.mark.parametrize(
    ("count", "domains", "regions", "most_steps"),
    [(2, 2, 1, 1), (3, 3, 1, 1), (6, 3, 1, 3), (48, 4, 2, 9), (950, 16, 7, 13)],
)
def test_every_node_is_reached_in_few_hops(count, domains, regions, most_steps):
    links = overlay(count, domains, regions)
    reached, steps = steps_to_all(links, "vm-000")
    assert reached == count
    assert steps <= most_steps


def test_each_node_is_probed_by_about_as_many_as_it_probes():
    links = overlay(950, 16, 7)
    probers = Counter(m.vm for found in links.values() for m in found.region)
    assert len(probers) == 950
    assert max(probers.values()) <= 2 * RINGS


def test_two_links_connect_each_pair_of_regions():
    links = overlay(950, 16, 7)
    crossings = Counter(
        (int(vm[3:]) % 16 % 7, member.region)
        for vm, found in links.items()
        for member in found.gateways
    )
    assert len(crossings) == 7 * 6
    assert set(crossings.values()) == {2}


@pytest.mark.parametrize("domain", range(4))
def test_a_lost_failure_domain_leaves_the_rest_connected(domain):
    dead = frozenset(i for i in range(190) if i % 4 == domain)
    links = overlay(190, 4, 2, dead)
    start = next(iter(links))
    assert steps_to_all(links, start)[0] == len(links)
