"""What callers and endpoints see of calls that are passed on."""

import asyncio

import pytest

from knapweedhinge.http1 import PoolSettings
from knapweedhinge.test.replica import Replica
from tests.platform.world import HOST, KEY, World, catalog, chat, request, route


def shops(count: int = 2, **fields) -> list[Replica]:
    return [Replica(f"shop-{n}", "shop", **fields) for n in range(count)]


def engines(count: int = 2, **fields) -> list[Replica]:
    return [Replica(f"engine-{n}", "engine", **fields) for n in range(count)]


def calls(replicas) -> list:
    return [call for one in replicas for call in one.calls]


async def test_a_call_is_passed_on_as_it_is():
    replicas = shops(1)
    async with World(replicas, catalog()) as world:
        data = request(
            "/pay/a%2Fb/../c?x=1&y=%20",
            body=b"\x00\xffbytes",
            X_Custom="kept",
            Knapweedhinge_Tenant="forged",
            Knapweedhinge_Hold="forged",
            Kv_From="forged",
            Knapweedhinge_Deadline_Ms="2000",
            Connection="X-Hop",
            X_Hop="dropped",
        )
        reply = await world.ask(data)
    (seen,) = replicas[0].calls
    assert reply.status == 200 and reply.whole
    assert reply.body == b"shop-0 \x00\xffbytes"
    assert reply.headers["knapweedhinge-replica-stamp"] == "shop-0"
    assert (seen.method, seen.target) == ("POST", b"/pay/a%2Fb/../c?x=1&y=%20")
    assert seen.body == b"\x00\xffbytes"
    assert seen.get(b"x-custom") == b"kept"
    assert seen.get(b"host") == HOST.encode()
    assert seen.get(b"knapweedhinge-tenant") == b"acme"
    assert seen.get(b"knapweedhinge-expect-replica") == b"shop-0"
    assert 1500 < int(seen.get(b"knapweedhinge-deadline-ms")) <= 2000
    for name in (b"authorization", b"knapweedhinge-hold", b"kv-from", b"x-hop"):
        assert seen.get(name) is None


REFUSED = [
    # request, its status
    (request("/none/x"), 404),
    (request("/look"), 404),
    (request("/look/x", key=""), 401),
    (request("/look/x", key="wrong"), 401),
    (request("/look/x", Knapweedhinge_Deadline_Ms="soon"), 400),
    (request("/look/x", Knapweedhinge_Deadline_Ms="0"), 503),
    (request("/look/x", Content_Length="4"), 400),
    (request("/look/x", Transfer_Encoding="chunked"), 400),
    (request("/look/x", X="y" * 20_000), 431),
    (request("/look/x", body=b"z" * 70_000), 413),
    (b"GET /look/x HTTP/1.1\rHost: x\r\n\r\n", 400),
    (b"nonsense\r\n\r\n", 400),
]


@pytest.mark.parametrize("data,status", REFUSED)
async def test_what_is_not_allowed_is_refused_at_once(data, status):
    replicas = shops(1)
    async with World(replicas, catalog()) as world:
        reply = await world.ask(data)
    assert reply.status == status
    assert calls(replicas) == []
    assert ("retry-after" in reply.headers) == (status == 503)


async def test_without_a_catalog_nothing_is_denied():
    async with World([], {}) as world:
        await world.until(lambda: world.node.ready_door.port)
        assert not world.node.ready
        world.store.put("op", "config", catalog())
        await world.until(lambda: world.node.ready)


PLAIN_FAULTS = [
    # kind of route, fault of the first endpoint, status, how many runs
    ("look", {"refuse": True}, 200, 1),
    ("pay", {"refuse": True}, 200, 1),
    ("look", {"reset": True}, 200, 2),
    ("pay", {"reset": True}, 502, 1),
    ("look", {"fail": True}, 200, 2),
    ("pay", {"fail": True}, 500, 1),
    ("look", {"unframed": True}, 200, 2),
    ("pay", {"unframed": True}, 502, 1),
    ("look", {"mute": True}, 200, 2),
    ("pay", {"mute": True}, 504, 1),
]


@pytest.mark.parametrize("name,fault,status,runs", PLAIN_FAULTS)
async def test_only_what_does_no_harm_is_sent_again(name, fault, status, runs):
    replicas = shops()
    async with World(replicas, catalog()) as world:
        world.node.ctx.rng.seed(1)
        faulty = replicas[0]
        for key, value in fault.items():
            setattr(faulty.faults, key, value)
        world.node.ctx.loads.began("shop-1", 9.0)
        data = request(f"/{name}/x", Knapweedhinge_Deadline_Ms="1500")
        reply = await world.ask(data)
    assert (reply.status, len(calls(replicas))) == (status, runs)


@pytest.mark.parametrize("mode", ["gone", "reused"])
async def test_an_endpoint_that_left_its_address_gets_nothing(mode):
    replicas = shops()
    async with World(replicas, catalog()) as world:
        world.node.ctx.loads.began("shop-1", 9.0)
        if mode == "gone":
            await replicas[0].stop()
        else:
            replicas[0].id = "another"
        reply = await world.ask(request("/pay/x"))
    assert reply.status == 200
    assert reply.body.startswith(b"shop-1")
    assert len(calls(replicas)) == 1


async def test_a_stray_answer_is_not_taken_for_the_next_one():
    replicas = shops(1)
    async with World(replicas, catalog()) as world:
        replicas[0].faults.stray = b"r0"
        first = await world.ask(request("/look/x", request_id="r1"))
        second = await world.ask(request("/look/x", request_id="r2", body=b"two"))
    assert first.body == b"shop-0 hello"
    assert second.body == b"shop-0 two"


async def test_a_stream_arrives_in_order():
    replicas = engines(1)
    async with World(replicas, catalog()) as world:
        reply = await world.ask(chat())
    assert (reply.status, reply.whole) == (200, True)
    assert reply.numbers == [1, 2, 3, 4, 5]
    assert replicas[0].seen(b"knapweedhinge-model") == [b"small"]


async def test_a_caller_takes_a_stream_up_behind_its_last_event():
    replicas = engines(1)
    async with World(replicas, catalog()) as world:
        reply = await world.ask(chat(Last_Event_Id="3"))
    assert reply.numbers == [4, 5]


async def test_a_stream_that_breaks_off_goes_on_elsewhere():
    replicas = engines()
    async with World(replicas, catalog()) as world:
        for one in replicas:
            one.faults.cut_after = 3
        asked = asyncio.create_task(world.ask(chat()))
        await world.until(lambda: calls(replicas))
        for one in replicas:
            if not one.calls:
                one.faults.cut_after = None
        reply = await asked
    assert (reply.whole, reply.numbers) == (True, [1, 2, 3, 4, 5])
    ran = calls(replicas)
    # ``ran`` goes by endpoint, not by time
    assert len(ran) == 2
    assert {one.get(b"last-event-id") for one in ran} == {None, b"2"}


async def test_a_stream_that_may_not_go_on_does_not_look_complete():
    replicas = engines()
    routes = [route("chat", "stream", resumable=False)]
    async with World(replicas, catalog(routes=routes)) as world:
        for one in replicas:
            one.faults.cut_after = 3
        reply = await world.ask(chat())
    assert (reply.status, reply.whole, reply.numbers) == (200, False, [1, 2])
    assert len(calls(replicas)) == 1


async def test_a_stream_that_falls_silent_goes_on_elsewhere():
    replicas = engines()
    routes = [route("chat", "stream", gapAimMs=100)]
    async with World(replicas, catalog(routes=routes)) as world:
        for one in replicas:
            one.faults.stall_after = 3
        asked = asyncio.create_task(world.ask(chat()))
        await world.until(lambda: calls(replicas))
        for one in replicas:
            if not one.calls:
                one.faults.stall_after = None
        reply = await asked
    assert (reply.whole, reply.numbers) == (True, [1, 2, 3, 4, 5])


OPINIONS = [
    # opinion of the small model, fields of the route, models asked
    (90, {}, [b"small"]),
    (10, {}, [b"small", b"large"]),
    (10, {"attempts": 1}, [b"small"]),
    (10, {"sizes": ["small"]}, [b"small"]),
]


@pytest.mark.parametrize("opinion,fields,models", OPINIONS)
async def test_a_poor_answer_is_asked_of_a_larger_model(opinion, fields, models):
    replicas = engines(1, confidence={"small": opinion, "large": 95})
    routes = [route("chat", "stream", **fields)]
    async with World(replicas, catalog(routes=routes)) as world:
        reply = await world.ask(chat())
    assert reply.numbers == [1, 2, 3, 4, 5]
    assert replicas[0].seen(b"knapweedhinge-model") == models


async def test_work_ends_when_the_caller_leaves():
    replicas = engines(1)
    async with World(replicas, catalog()) as world:
        replicas[0].faults.stall_after = 2
        _, writer = await asyncio.open_connection("127.0.0.1", world.node.front.port)
        writer.write(chat())
        await world.until(lambda: replicas[0].calls)
        assert replicas[0].connections == 1
        writer.close()
        await world.until(lambda: replicas[0].connections == 0, timeout_s=0.5)


TIMEOUTS = [
    # kind, fault, status, true if the endpoint may have run it
    ("pay", {"mute": True}, 504),
    ("look", {"mute": True}, 504),
    ("chat", {"mute": True}, 504),
]


@pytest.mark.parametrize("name,fault,status", TIMEOUTS)
async def test_a_route_s_time_is_kept(name, fault, status):
    replicas = [*shops(1), *engines(1)]
    routes = [
        route("pay", "unsafe", timeoutMs=400),
        route("look", "safe", timeoutMs=400),
        route("chat", "stream", timeoutMs=400),
    ]
    async with World(replicas, catalog(routes=routes)) as world:
        for one in replicas:
            for key, value in fault.items():
                setattr(one.faults, key, value)
        data = chat() if name == "chat" else request(f"/{name}/x")
        loop = asyncio.get_running_loop()
        began = loop.time()
        reply = await world.ask(data)
        took_s = loop.time() - began
    assert reply.status == status
    assert 0.3 < took_s < 0.7


async def test_an_answer_too_long_to_hold_is_not_said_to_be_not_run(monkeypatch):
    monkeypatch.setattr("knapweedhinge.filters.relay.attempt.MAX_BODY_BYTES", 4)
    replicas = shops()
    async with World(replicas, catalog()) as world:
        reply = await world.ask(request("/pay/x"))
    assert reply.status == 502
    assert len(calls(replicas)) == 1


async def test_with_no_endpoint_a_call_is_refused_soon_and_truly():
    async with World([], catalog()) as world:
        loop = asyncio.get_running_loop()
        began = loop.time()
        reply = await world.ask(request("/pay/x"))
        assert loop.time() - began < 0.5
    assert reply.status == 503
    assert 0 < float(reply.headers["retry-after"]) < 2


async def test_requests_on_one_connection_are_answered_in_order():
    replicas = shops()
    async with World(replicas, catalog()) as world:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", world.node.front.port
        )
        ids = [f"r{n}" for n in range(5)]
        writer.write(b"".join(request("/look/x", request_id=one) for one in ids))
        text = b""
        while text.count(b"hello") < 5:
            text += await asyncio.wait_for(reader.read(65536), 2)
        writer.close()
    lines = text.split(b"\r\n")
    found = [
        line.partition(b": ")[2].decode()
        for line in lines
        if line.lower().startswith(b"knapweedhinge-request-id")
    ]
    assert found == ids


async def test_keys_never_reach_the_log(capsys):
    from loguru import logger

    lines = []
    sink = logger.add(lambda message: lines.append(str(message.record)))
    try:
        async with World(shops(1), catalog()) as world:
            await world.ask(request("/pay/x"))
            await world.ask(request("/pay/x", key="wrong-key"))
    finally:
        logger.remove(sink)
    assert lines
    assert not [one for one in lines if KEY in one or "wrong-key" in one]


async def test_a_call_that_runs_once_finds_a_connection_where_all_are_idle():
    """Idle ones may be closing already; one of them makes room for a fresh one."""
    replicas = shops(1)
    async with World(replicas, catalog()) as world:
        assert (await world.ask(request("/look/x"))).status == 200
        endpoint = world.node.fleet.view.endpoints.by_id["shop-0"]
        pool = world.node.ctx.pools.get(endpoint, 64, 1)
        pool.most, pool.cfg = 1, PoolSettings(max_idle_once_s=0.0)
        world.node.ctx.pools.get = lambda *_: pool
        reply = await world.ask(request("/pay/x"))
        assert (reply.status, len(pool)) == (200, 1)
    assert pool.opened == 2
