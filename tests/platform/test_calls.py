"""Tests of forwarded calls, as callers and endpoints see them."""

import asyncio

import pytest

from knapweedhinge.conf.relay import Promises
from knapweedhinge.http1 import PoolSettings
from knapweedhinge.test.replica import Replica
from tests.platform.world import HOST, KEY, World, catalog, chat, request, route


def shops(count: int = 2, **fields) -> list[Replica]:
    return [Replica(f"shop-{n}", "shop", **fields) for n in range(count)]


def engines(count: int = 2, **fields) -> list[Replica]:
    return [Replica(f"engine-{n}", "engine", **fields) for n in range(count)]


def calls(replicas) -> list:
    return [call for replica in replicas for call in replica.calls]


async def test_a_call_is_forwarded_unchanged():
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
    # request, expected status
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
async def test_invalid_requests_are_refused_at_once(data, status):
    replicas = shops(1)
    async with World(replicas, catalog()) as world:
        reply = await world.ask(data)
    assert reply.status == status
    assert calls(replicas) == []
    assert ("retry-after" in reply.headers) == (status == 503)


async def test_a_node_is_not_ready_without_a_catalog():
    async with World([], {}) as world:
        await world.until(lambda: world.node.ready_server.port)
        assert not world.node.ready
        world.store.put("op", "config", catalog())
        await world.until(lambda: world.node.ready)


PLAIN_FAULTS = [
    # route, fault of the first endpoint, expected status, expected number of runs
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
async def test_only_calls_that_may_run_twice_are_retried(name, fault, status, runs):
    replicas = shops()
    async with World(replicas, catalog()) as world:
        world.node.ctx.rng.seed(1)
        faulty = replicas[0]
        for key, value in fault.items():
            setattr(faulty.faults, key, value)
        # With 9 s of work at shop-1, the faulty shop-0 is chosen first.
        world.node.ctx.loads.began("shop-1", 9.0)
        data = request(f"/{name}/x", Knapweedhinge_Deadline_Ms="1500")
        reply = await world.ask(data)
    assert (reply.status, len(calls(replicas))) == (status, runs)


@pytest.mark.parametrize("mode", ["gone", "reused"])
async def test_calls_avoid_an_endpoint_whose_address_was_given_up(mode):
    replicas = shops()
    async with World(replicas, catalog()) as world:
        # With 9 s of work at shop-1, calls would prefer shop-0.
        world.node.ctx.loads.began("shop-1", 9.0)
        if mode == "gone":
            await replicas[0].stop()
        else:
            replicas[0].id = "another"
        reply = await world.ask(request("/pay/x"))
    assert reply.status == 200
    assert reply.body.startswith(b"shop-1")
    assert len(calls(replicas)) == 1


async def test_an_unrequested_response_is_not_taken_for_the_next_one():
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
    assert replicas[0].header_values(b"knapweedhinge-model") == [b"small"]


async def test_a_caller_resumes_a_stream_after_its_last_event():
    replicas = engines(1)
    async with World(replicas, catalog()) as world:
        reply = await world.ask(chat(Last_Event_Id="3"))
    assert reply.numbers == [4, 5]


async def test_a_broken_stream_is_resumed_at_another_endpoint():
    replicas = engines()
    async with World(replicas, catalog()) as world:
        for replica in replicas:
            replica.faults.cut_in_event = 3
        asked = asyncio.create_task(world.ask(chat()))
        await world.until(lambda: calls(replicas))
        for replica in replicas:
            if not replica.calls:
                replica.faults.cut_in_event = None
        reply = await asked
    assert (reply.whole, reply.numbers) == (True, [1, 2, 3, 4, 5])
    ran = calls(replicas)
    # ``ran`` is ordered by endpoint, not by time
    assert len(ran) == 2
    assert {call.get(b"last-event-id") for call in ran} == {None, b"2"}


async def test_a_broken_stream_that_is_not_resumable_ends_incomplete():
    replicas = engines()
    routes = [route("chat", "stream", resumable=False)]
    async with World(replicas, catalog(routes=routes)) as world:
        for replica in replicas:
            replica.faults.cut_in_event = 3
        reply = await world.ask(chat())
    assert (reply.status, reply.whole, reply.numbers) == (200, False, [1, 2])
    assert len(calls(replicas)) == 1


async def test_a_stalled_stream_is_resumed_at_another_endpoint():
    replicas = engines()
    routes = [route("chat", "stream", gapAimMs=100)]
    async with World(replicas, catalog(routes=routes)) as world:
        for replica in replicas:
            replica.faults.stall_before_event = 3
        asked = asyncio.create_task(world.ask(chat()))
        await world.until(lambda: calls(replicas))
        for replica in replicas:
            if not replica.calls:
                replica.faults.stall_before_event = None
        reply = await asked
    assert (reply.whole, reply.numbers) == (True, [1, 2, 3, 4, 5])


CONFIDENCES = [
    # confidence of the small model, fields of the route, expected models
    (90, {}, [b"small"]),
    (10, {}, [b"small", b"large"]),
    (10, {"attempts": 1}, [b"small"]),
    (10, {"sizes": ["small"]}, [b"small"]),
]


@pytest.mark.parametrize("confidence,fields,models", CONFIDENCES)
async def test_a_low_confidence_answer_is_escalated_to_a_larger_model(
    confidence, fields, models
):
    replicas = engines(1, confidence={"small": confidence, "large": 95})
    routes = [route("chat", "stream", **fields)]
    async with World(replicas, catalog(routes=routes)) as world:
        reply = await world.ask(chat())
    assert reply.numbers == [1, 2, 3, 4, 5]
    assert replicas[0].header_values(b"knapweedhinge-model") == models


DROPPED_CASES = [
    # most runs of a call, fault of the large model's endpoints, runs in all
    (3, {"fail_model": b"large"}, 3),
    (4, {"fail_model": b"large"}, 4),
]


@pytest.mark.parametrize("attempts,faults,runs", DROPPED_CASES)
async def test_a_run_given_up_for_a_larger_model_counts_with_the_retries(
    attempts, faults, runs
):
    replicas = engines(5, confidence={"small": 10})
    for replica in replicas:
        for name, value in faults.items():
            setattr(replica.faults, name, value)
    routes = [route("chat", "stream", attempts=attempts)]
    async with World(
        replicas, catalog(routes=routes), promises=Promises(retry_allowance=200.0)
    ) as world:
        reply = await world.ask(chat())
    assert reply.status == 500
    assert sum(len(replica.calls) for replica in replicas) == runs


async def test_no_answer_says_not_run_after_a_run_given_up_for_a_larger_model():
    replicas = engines(2, confidence={"small": 10})
    async with World(replicas, catalog()) as world:
        for replica in replicas:
            replica.faults.refuse_model = b"large"
        reply = await world.ask(chat())
    assert any(replica.calls for replica in replicas)
    assert reply.status == 502


async def test_an_attempt_is_cancelled_when_the_caller_disconnects():
    replicas = engines(1)
    async with World(replicas, catalog()) as world:
        replicas[0].faults.stall_before_event = 2
        _, writer = await asyncio.open_connection(
            "127.0.0.1", world.node.caller_server.port
        )
        writer.write(chat())
        await world.until(lambda: replicas[0].calls)
        assert replicas[0].connections == 1
        writer.close()
        await world.until(lambda: replicas[0].connections == 0, timeout_s=0.5)


TIMEOUTS = [
    # route, fault of the endpoints, expected status
    ("pay", {"mute": True}, 504),
    ("look", {"mute": True}, 504),
    ("chat", {"mute": True}, 504),
]


@pytest.mark.parametrize("name,fault,status", TIMEOUTS)
async def test_the_timeout_of_a_route_is_kept(name, fault, status):
    replicas = [*shops(1), *engines(1)]
    routes = [
        route("pay", "unsafe", timeoutMs=400),
        route("look", "safe", timeoutMs=400),
        route("chat", "stream", timeoutMs=400),
    ]
    async with World(replicas, catalog(routes=routes)) as world:
        for replica in replicas:
            for key, value in fault.items():
                setattr(replica.faults, key, value)
        data = chat() if name == "chat" else request(f"/{name}/x")
        loop = asyncio.get_running_loop()
        began = loop.time()
        reply = await world.ask(data)
        took_s = loop.time() - began
    assert reply.status == status
    assert 0.3 < took_s < 0.7


async def test_a_too_long_answer_is_not_reported_as_not_run(monkeypatch):
    monkeypatch.setattr("knapweedhinge.filters.relay.attempt.MAX_ANSWER_BYTES", 4)
    replicas = shops()
    async with World(replicas, catalog()) as world:
        reply = await world.ask(request("/pay/x"))
    assert reply.status == 502
    assert len(calls(replicas)) == 1


async def test_a_call_without_endpoint_is_refused_soon():
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
            "127.0.0.1", world.node.caller_server.port
        )
        ids = [f"r{n}" for n in range(5)]
        writer.write(
            b"".join(request("/look/x", request_id=request_id) for request_id in ids)
        )
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


async def test_keys_are_never_logged(capsys):
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
    assert not [line for line in lines if KEY in line or "wrong-key" in line]


async def test_a_call_that_must_run_once_replaces_an_idle_connection():
    """The pool is full of idle connections, which the server may be closing already."""
    replicas = shops(1)
    async with World(replicas, catalog()) as world:
        assert (await world.ask(request("/look/x"))).status == 200
        endpoint = world.node.fleet.view.endpoints.by_id["shop-0"]
        pool = world.node.ctx.pools.get(endpoint, 64, 1)
        pool.max_open, pool.cfg = 1, PoolSettings(max_idle_once_s=0.0)
        world.node.ctx.pools.get = lambda *_: pool
        reply = await world.ask(request("/pay/x"))
        assert (reply.status, len(pool)) == (200, 1)
    assert pool.opened == 2


async def test_long_names_of_sessions_hold_bounded_memory():
    async with World([Replica("shop-0", "shop")], catalog()) as world:
        for name in ("a" * 10_000, "b" * 10_000):
            reply = await world.ask(request("/look/x", Session=name))
            assert reply.status == 200
        found = world.node.sessions.active("shop", world.node.clock())
    assert len(found) == 2
    assert all(len(session) <= 64 for session, _ in found)
