"""A planned stop under load: no accepted request ends without an answer."""

import asyncio
from collections import Counter

import pytest

from knapweedhinge.conf.relay import Promises
from knapweedhinge.test.replica import Replica
from tests.platform.world import (
    World,
    ask_on,
    catalog,
    chat,
    exchange,
    request,
    route,
)

CALLERS = 20


@pytest.mark.parametrize("work_s", [0.0, 0.02])
async def test_no_request_is_cut_off_while_a_node_stops(work_s):
    replica = Replica("shop-0", "shop")
    replica.faults.late_s = work_s
    ends: Counter = Counter()
    async with World([replica], catalog(), promises=Promises(grace_s=2.0)) as world:
        port = world.node.caller_server.port

        async def call_until_refused(caller: int) -> None:
            for number in range(100_000):
                data = request("/pay/x", request_id=f"{caller}-{number}")
                try:
                    reply = await exchange(port, data)
                except ConnectionError:  # of the attempt to connect
                    return
                ends[reply.status if reply.whole else "cut"] += 1

        callers = [asyncio.create_task(call_until_refused(n)) for n in range(CALLERS)]
        await asyncio.sleep(0.2)
        await world.node.stop(world.node.clock())
        await asyncio.gather(*callers)
    assert ends[200] > CALLERS
    assert ends.keys() <= {200, 503}


async def kept_connections(world: World, count: int) -> list[tuple]:
    """Return connections to the node on which one call each was answered."""
    kept = []
    for number in range(count):
        streams = await asyncio.open_connection(
            "127.0.0.1", world.node.caller_server.port
        )
        kept.append(streams)
        reply = await ask_on(streams, request("/look/x", request_id=f"kept{number}"))
        assert reply.status == 200 and "connection" not in reply.headers
    return kept


LATE = (0.05, 0.25, 0.35, 0.5, 0.7, 0.9)  # of the grace period


@pytest.mark.parametrize("work_s", [0.0, 0.1])
async def test_no_call_that_comes_late_in_the_grace_is_passed_on_and_cut(work_s):
    grace_s = 2.0
    replica = Replica("shop-0", "shop")
    replica.faults.late_s = work_s
    async with World([replica], catalog(), promises=Promises(grace_s)) as world:
        kept = await kept_connections(world, len(LATE))
        replica.calls.clear()
        stopping = asyncio.create_task(world.node.stop(world.node.clock()))

        async def call_late(streams, share: float):
            await asyncio.sleep(share * grace_s)
            try:
                return await ask_on(streams, request("/pay/x", request_id=f"{share}"))
            except ConnectionError:
                return None

        replies = await asyncio.gather(*map(call_late, kept, LATE))
        await stopping
    ran = {call.get(b"knapweedhinge-request-id").decode() for call in replica.calls}
    for share, reply in zip(LATE, replies, strict=True):
        if f"{share}" in ran:
            assert reply is not None and reply.status == 200 and reply.whole
        else:
            assert reply is None or not reply.status or reply.status == 503


@pytest.mark.parametrize("name", ["pay", "look", "chat"])
async def test_a_call_that_outlasts_the_grace_is_told_so_instead_of_being_cut(name):
    replicas = [Replica("shop-0", "shop"), Replica("engine-0", "engine")]
    routes = [
        route("pay", "unsafe", timeoutMs=20_000),
        route("look", "safe", timeoutMs=20_000),
        route("chat", "stream", timeoutMs=20_000, targetLatencyMs=20_000),
    ]
    promises = Promises(grace_s=1.5)
    async with World(replicas, catalog(routes=routes), promises=promises) as world:
        for replica in replicas:
            replica.faults.mute = True
        data = chat() if name == "chat" else request(f"/{name}/x")
        asking = asyncio.create_task(world.ask(data))
        await world.until(lambda: any(replica.calls for replica in replicas))
        await world.node.stop(world.node.clock())
        reply = await asking
    assert (reply.status, reply.whole) == (504, True)


async def test_a_call_that_no_endpoint_got_in_the_grace_is_refused_as_not_run():
    routes = [route("look", "safe", timeoutMs=20_000, targetLatencyMs=60_000)]
    promises = Promises(grace_s=1.5)
    async with World([], catalog(routes=routes), promises=promises) as world:
        asking = asyncio.create_task(world.ask(request("/look/x")))
        await asyncio.sleep(0.1)
        await world.node.stop(world.node.clock())
        reply = await asking
    assert (reply.status, reply.whole) == (503, True)
