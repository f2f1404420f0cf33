"""Entries of other writers among those of the endpoints: nodes go on and follow."""

from contextlib import AsyncExitStack

import pytest

from knapweedhinge.controllers.fleet import FleetTracker
from knapweedhinge.node.relay import GONE_MEMORY_S
from knapweedhinge.test.replica import Replica
from tests.platform.world import World, catalog, request

DEEP = b"[" * 100_000 + b"]" * 100_000


def entry(**fields) -> dict:
    """Return an endpoint's record with some fields replaced."""
    return Replica("odd", "shop").record_at("127.0.0.1:9") | fields


ODD = [
    # value of the entry, as JSON or as bytes
    DEEP,
    b'{"service":"shop","addr":"127.0.0.1:9","zone":"a","x":' + DEEP + b"}",
    b'{"service":"shop","addr":"127.0.0.1:9","zone":' + DEEP + b"}",
    b'{"service":"shop","addr":"127.0.0.1:9","zone":"a","coldLeftMs":1e999}',
    b'{"service":"shop","addr":"127.0.0.1:9","zone":"a","born":1' + b"0" * 5_000 + b"}",
    entry(born=10**400),
    entry(born=2**63),
    entry(born=-1),
    entry(coldLeftMs=-5.0),
    entry(coldLeftMs=1e300),
    entry(addr="127.0.0.1:0"),
    entry(addr="127.0.0.1:65536"),
    entry(addr="127.0.0.1:99999999999999999999"),
    entry(addr="127.0.0.1:" + "9" * 5_000),
    entry(addr="127.0.0.1:²"),
    entry(addr="127.0.0.1:-1"),
    entry(addr="not an address:9"),
    entry(addr="\x00:9"),
    entry(state="gone fishing"),
    entry(service=7),
    b"\xff\xfe",
    b"",
]


@pytest.mark.parametrize("value", ODD, ids=range(len(ODD)))
@pytest.mark.parametrize("early", [True, False], ids=["at-start", "later"])
async def test_an_odd_entry_neither_stops_calls_nor_hides_later_entries(value, early):
    shops = [Replica(f"shop-{n}", "shop") for n in range(2)]
    world = World(shops[:1], catalog())
    if early:
        world.store.put("servers", "odd", value)
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(world)
        stack.push_async_callback(shops[1].stop)
        await shops[1].start()
        if not early:
            world.store.put("servers", "odd", value)
        world.store.put("servers", "shop-1", shops[1].record())
        await world.until(lambda: "shop-1" in world.node.fleet.view.endpoints.by_id)
        for number in range(8):
            reply = await world.ask(request("/look/x", request_id=f"r{number}"))
            assert reply.status == 200
    assert world.store.calls.count("/knapweedhinge/rows-feed") < 10


@pytest.mark.parametrize("early", [True, False], ids=["at-start", "later"])
async def test_an_error_in_one_change_does_not_hide_the_later_ones(monkeypatch, early):
    """No entry is known that causes one; the error is brought about in the fleet."""
    apply = FleetTracker.apply

    def fail_for_odd(self, event, now):
        if getattr(getattr(event, "record", None), "id", "") == "odd":
            raise ValueError("odd")
        apply(self, event, now)

    monkeypatch.setattr(FleetTracker, "apply", fail_for_odd)
    shops = [Replica(f"shop-{n}", "shop") for n in range(2)]
    world = World(shops[:1], catalog())
    async with AsyncExitStack() as stack:
        if early:
            world.store.put("servers", "odd", entry())
        await stack.enter_async_context(world)
        stack.push_async_callback(shops[1].stop)
        await shops[1].start()
        if not early:
            world.store.put("servers", "odd", entry())
        world.store.put("servers", "shop-1", shops[1].record())
        await world.until(lambda: "shop-1" in world.node.fleet.view.endpoints.by_id)


async def test_an_endpoint_unreadable_for_a_moment_keeps_its_pause_and_cold_start():
    """Both were forgotten with its entry, and calls went to it at once."""
    cold = {"maxConns": 64, "coldS": 20.0, "coldPerS": 1.0}
    services = [{"name": "shop", **cold}, {"name": "engine", "maxConns": 64}]
    (shop,) = shops = [Replica("shop-0", "shop")]
    async with World(shops, catalog(services=services)) as world:
        fleet, health = world.node.fleet, world.node.ctx.health
        clock = world.node.clock
        fleet.note_cold_answer(shop.id, 20.0, clock())
        health.asked_to_wait(shop.id, 20.0, clock())
        world.store.put("servers", shop.id, b"unreadable")
        await world.until(lambda: shop.id not in fleet.view.endpoints.by_id)
        world.store.put("servers", shop.id, shop.record())
        await world.until(lambda: shop.id in fleet.view.endpoints.by_id)
        assert fleet.is_cold(shop.id, clock()) and health.waits(shop.id, clock())
        world.store.put("servers", shop.id, shop.record(born=2))
        await world.until(lambda: not health.waits(shop.id, clock()))


async def test_what_is_known_of_endpoints_without_an_entry_is_forgotten_in_the_end():
    (shop,) = shops = [Replica("shop-0", "shop")]
    async with World(shops, catalog()) as world:
        node, now = world.node, world.node.clock()
        node.ctx.health.asked_to_wait(shop.id, 500.0, now)
        world.store.put("servers", shop.id, b"unreadable")
        await world.until(lambda: shop.id not in node.fleet.view.endpoints.by_id)
        node._forget_gone(now + GONE_MEMORY_S / 2)
        assert node.ctx.health.waits(shop.id, now)
        node._forget_gone(node.clock() + GONE_MEMORY_S)
        assert not node.ctx.health.waits(shop.id, now)
