"""What endpoints ask for in their answers: no new calls, or none for a while."""

import asyncio
import time

import pytest

from knapweedhinge.test.replica import Replica
from tests.platform.world import World, catalog, request


def shops(count: int = 2) -> list[Replica]:
    return [Replica(f"shop-{n}", "shop") for n in range(count)]


async def ask(world: World, count: int) -> list[int]:
    """Send calls one after the other; return the statuses."""
    replies = [
        await world.ask(request("/look/x", request_id=f"{time.monotonic()}"))
        for _ in range(count)
    ]
    return [reply.status for reply in replies]


@pytest.mark.parametrize("refuse", [True, False])
async def test_an_endpoint_that_says_it_leaves_gets_no_new_calls(refuse):
    leaving, other = replicas = shops()
    async with World(replicas, catalog()) as world:
        leaving.faults.leaving, leaving.faults.refuse = True, refuse
        world.node.ctx.loads.began(other.id, 9.0)
        assert await ask(world, 1) == [200]
        leaving.faults.refuse = False
        leaving.calls.clear()
        assert await ask(world, 10) == [200] * 10
        # A record that says otherwise may have been written before.
        world.store.put("servers", leaving.id, leaving.record(coldLeftMs=5))
        await asyncio.sleep(0.2)
        assert await ask(world, 10) == [200] * 10
        assert leaving.calls == []
        leaving.faults.leaving = False
        world.store.put("servers", leaving.id, leaving.record(born=2))
        await asyncio.sleep(0.2)
        assert await ask(world, 1) == [200]
    assert len(leaving.calls) == 1


async def test_a_refusal_with_retry_after_is_obeyed_until_its_end():
    busy, other = replicas = shops()
    async with World(replicas, catalog()) as world:
        busy.faults.refuse, busy.faults.retry_after = True, "1.2"
        world.node.ctx.loads.began(other.id, 9.0)
        began = time.monotonic()
        assert await ask(world, 1) == [200]
        busy.faults.refuse = False
        while time.monotonic() < began + 1.1:
            assert await ask(world, 1) == [200]
        assert len(busy.refused) + len(busy.calls) == 1
        await world.until(lambda: time.monotonic() > began + 1.3)
        assert await ask(world, 1) == [200]
    assert len(busy.calls) == 1


async def test_callers_are_told_when_the_only_endpoint_takes_calls_again():
    (busy,) = replicas = shops(1)
    async with World(replicas, catalog()) as world:
        busy.faults.refuse, busy.faults.retry_after = True, "5"
        replies = [await world.ask(request("/look/x")) for _ in range(3)]
    assert [reply.status for reply in replies] == [503] * 3
    assert len(busy.refused) == 1
    assert 4.0 < float(replies[-1].headers["retry-after"]) <= 5.0


@pytest.mark.parametrize("value", ["", "-1", "nan", "soon", "1e9", "0", "9" * 40])
async def test_an_odd_retry_after_asks_for_nothing(value):
    replicas = shops(1)
    async with World(replicas, catalog()) as world:
        replicas[0].faults.refuse, replicas[0].faults.retry_after = True, value
        await ask(world, 1)
        replicas[0].faults.refuse = False
        await asyncio.sleep(0.5)
        assert await ask(world, 1) == [200]
