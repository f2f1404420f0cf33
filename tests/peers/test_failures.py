"""Failures of nodes and connections, with real nodes on the loopback interface."""

import asyncio
from contextlib import suppress
from random import Random

import pytest

from knapweedhinge.conf.node import PeerSettings
from knapweedhinge.core.exceptions import PeerError
from knapweedhinge.peers import MemberState, Peers
from knapweedhinge.peers.topology import neighbours, ring_count
from tests.peers.conftest import (
    QUICK,
    FakeTable,
    fleet,
    make_settings,
    partition,
    until,
)

# Seconds; a wrong suspicion becomes a declared death within this time.
SETTLE_S = 2 * QUICK["suspicion_s"]
ALIVE, DEAD = MemberState.ALIVE, MemberState.DEAD


def state_of(node, vm):
    return node.membership.members[vm].state


def ever_dead(nodes):
    """Return a set that collects (observer, VM) whenever a node sees a VM as dead."""
    found = set()

    def watcher(node):
        def watch(view):
            dead = [m.vm for m in view.members.values() if m.state is DEAD]
            found.update((node.me.vm, vm) for vm in dead)

        return watch

    for node in nodes:
        node.changes.subscribe(watcher(node))
    return found


def between(nodes, others):
    return [(node, other) for node in nodes for other in others]


async def kill(node):
    """Stop a node without announcing it, as if its VM had stopped."""
    node._engine.running = False
    await node._engine._tasks.stop()
    await node._engine.detector.stop()
    await node._engine.gossip.stop()
    await node._engine.links.close()


async def test_a_cut_between_two_nodes_gets_neither_declared_dead():
    async with fleet(5, **QUICK) as nodes:
        dead = ever_dead(nodes)
        # Only neighbours probe each other, so the cut must be between neighbours.
        await until(lambda: all(has_current_neighbours(node) for node in nodes))
        other = neighbour_of(nodes[0], nodes)
        with partition((nodes[0], other)):
            before = sent(nodes, "indirect-probe")
            await until(lambda: sent(nodes, "indirect-probe") > before + 6)
            nodes[0].publish("cut", "k", 1, b"")
            await until(lambda: other.entries("cut"))
        await asyncio.sleep(SETTLE_S)
        assert dead == set()


def has_current_neighbours(node):
    """Return whether a node's neighbours match the members that it knows."""
    known = tuple(node.membership.active)
    count = ring_count(PeerSettings().fanout)
    return node._engine.neighbours == neighbours(node.me, known, count)


def neighbour_of(node, nodes):
    """Return one of the nodes that are neighbours of ``node``."""
    vms = {member.vm for member in node._engine.neighbours.all}
    return next(other for other in nodes if other.me.vm in vms)


def sent(nodes, cause):
    return sum(node.state(0.0).counts[cause].sent for node in nodes)


async def test_a_dead_node_and_its_restart_are_detected():
    table = FakeTable()
    async with fleet(6, table, **QUICK) as nodes:
        await kill(nodes[5])
        rest = nodes[:5]
        await until(lambda: all(state_of(n, "vm-005") is DEAD for n in rest))
        restarted = Peers(make_settings(5, **QUICK), table, rng=Random(9))
        await restarted.start()
        await until(lambda: all(state_of(n, "vm-005") is ALIVE for n in rest))
        assert sorted(key.split("/")[0] for key in table.rows) == [
            f"vm-{index:03}" for index in range(6)
        ]
        await restarted.stop()


async def test_nodes_that_die_at_once_are_declared_dead_and_no_others():
    async with fleet(12, **QUICK) as nodes:
        gone, rest = nodes[8:], nodes[:8]
        dead = ever_dead(rest)
        for node in gone:
            await kill(node)
        names = {node.me.vm for node in gone}
        await until(lambda: all(_dead_in(n) == names for n in rest))
        await asyncio.sleep(SETTLE_S)
        assert {vm for _, vm in dead} == names


def _dead_in(node):
    found = node.membership.members.values()
    return {member.vm for member in found if member.state is DEAD}


async def test_no_member_is_declared_dead_while_a_region_is_cut_off():
    regions = {"domains": 2, "regions": 2, "stale_after_s": 1.0}
    async with fleet(8, **QUICK, **regions) as nodes:
        here, there = nodes[::2], nodes[1::2]
        await until(lambda: all(heard(n, "region-1") == 1.0 for n in here))
        dead = ever_dead(nodes)
        with partition(*between(here, there)):
            await until(lambda: all(heard(n, "region-1") == 0.0 for n in here))
            await until(lambda: all(heard(n, "region-0") == 0.0 for n in there))
            assert all(heard(n, "region-0") == 1.0 for n in here)
            assert all(len(n.membership.reachable(n._clock())) == 4 for n in nodes)
            nodes[0].publish("configuration", "head", 7, b"new")
            await until(lambda: all(n.entries("configuration") for n in here))
            assert not any(n.entries("configuration") for n in there)
        await until(lambda: all(n.entries("configuration") for n in there))
        await until(
            lambda: all(n.membership.heard_fraction(n._clock()) == 1.0 for n in nodes)
        )
        await asyncio.sleep(SETTLE_S)
        assert dead == set()


def heard(node, region):
    return node.membership.heard_fraction(node._clock(), region)


async def test_a_node_cut_off_from_all_declares_nobody_dead():
    async with fleet(6, **QUICK, stale_after_s=0.5) as nodes:
        alone, rest = nodes[0], nodes[1:]
        dead = ever_dead([alone])
        with partition(*between([alone], rest)):
            await until(lambda: all(state_of(n, "vm-000") is DEAD for n in rest))
            await until(lambda: alone.membership.heard_fraction(alone._clock()) < 0.5)
        await until(lambda: all(state_of(n, "vm-000") is ALIVE for n in rest))
        await asyncio.sleep(SETTLE_S)
        assert dead == set()


async def test_repeated_restarts_leave_one_roster_row_per_node():
    table = FakeTable()
    async with fleet(6, table, **QUICK) as nodes:
        dead = ever_dead(nodes[:3])
        for _ in range(4):
            for index in (3, 4, 5):
                await nodes[index].stop()
                settings = make_settings(index, **QUICK)
                nodes[index] = Peers(settings, table, rng=Random(index))
                await nodes[index].start()
        await until(lambda: all(len(n.membership.active) == 6 for n in nodes))
        await asyncio.sleep(SETTLE_S)
        assert dead == set()
        assert len(table.rows) == 6
        assert table.writes == 6 + 4 * 3 * 2


async def test_a_caller_that_disconnects_does_not_crash_the_node():
    async def swallow(caller, payload):
        with suppress(asyncio.CancelledError):
            await asyncio.sleep(0.1)
        return b"too late"

    async with fleet(3, **QUICK) as nodes:
        nodes[0].handle("swallow", swallow)
        for node in nodes[1:]:
            with pytest.raises(PeerError):
                await node.call("vm-000", "swallow", b"", 0.05)
        call = asyncio.create_task(nodes[1].call("vm-000", "swallow", b"", 1.0))
        await asyncio.sleep(0.05)
        nodes[1]._engine.links.drop("vm-000")
        with pytest.raises(PeerError):
            await call
        await asyncio.sleep(0.1)
        nodes[2].handle("echo", swallow)
        assert await nodes[0].call("vm-002", "echo", b"", 1.0) == b"too late"
