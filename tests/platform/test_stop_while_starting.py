"""A node that is stopped before it is ready answers every request that it has read."""

import asyncio
import signal

import pytest

from knapweedhinge.conf import ListenSettings
from knapweedhinge.conf.relay import Promises
from knapweedhinge.node import relay
from knapweedhinge.peers.roster import Roster
from knapweedhinge.test.replica import Replica
from knapweedhinge.test.rowstore import StoreFaults
from tests.platform.test_stop_in_time import node_process
from tests.platform.world import World, ask_on, catalog, chat, request
from tests.processes import free_port

GRACE_S = 3.0
UNREAD_S = 0.2  # a client may take a connection that ends so soon for one not read
CALL_INTERVAL_S = 0.01
SIGNAL_INTERVAL_S = 0.01


def starting_world(**settings) -> World:
    replicas = [Replica("shop-0", "shop"), Replica("engine-0", "engine")]
    listen = ListenSettings("vm-1", "127.0.0.1", 0, "a", "here", free_port())
    promises = Promises(grace_s=GRACE_S)
    return World(replicas, catalog(), promises=promises, listen=listen, **settings)


async def connect(port: int, timeout_s: float = 10.0):
    """Connect to a port as soon as something listens there."""
    async with asyncio.timeout(timeout_s):
        while True:
            try:
                return await asyncio.open_connection("127.0.0.1", port)
            except ConnectionRefusedError:
                await asyncio.sleep(0.005)


async def ask_in_halves(streams, data: bytes, pause: asyncio.Event):
    """Send a request, the second half of it only once ``pause`` is over."""
    streams[1].write(data[: len(data) // 2])
    await pause.wait()
    return await ask_on(streams, data[len(data) // 2 :])


STOPS = {
    # how the store fails while the node starts, the signals
    "silent store": ("silent", [signal.SIGTERM]),
    "silent store, SIGINT": ("silent", [signal.SIGINT]),
    "silent store, both": ("silent", [signal.SIGTERM, signal.SIGINT]),
    "silent store, twice": ("silent", [signal.SIGTERM, signal.SIGTERM]),
    "silent store, SIGHUP": ("silent", [signal.SIGTERM, signal.SIGHUP]),
    "busy store": ("busy", [signal.SIGTERM]),
    "store over its rate": ("many", [signal.SIGTERM]),
    "store that resets": ("reset", [signal.SIGTERM]),
    "store without a catalog": ("empty", [signal.SIGTERM]),
}


@pytest.mark.parametrize("mode,signals", STOPS.values(), ids=STOPS)
async def test_requests_held_for_a_catalog_are_refused_when_the_node_is_stopped(
    tmp_path, mode, signals
):
    """The process ended at once, which closed their connections without an answer."""
    loop, sent = asyncio.get_running_loop(), asyncio.Event()
    requests = {
        "pay": request("/pay/x", request_id="pay"),
        "look": request("/look/x", "GET", b"", request_id="look"),
        "chat": chat("chat"),
    }
    async with starting_world() as world:
        if mode == "empty":
            world.store.put("op", "config", None)
        else:
            world.store.faults = StoreFaults(mode=mode)
        async with node_process(world, tmp_path, "vm-9", b'"starting"') as (
            child,
            port,
        ):
            kept = await connect(port)
            halves = await connect(port)
            asking = {
                name: asyncio.create_task(ask_on(await connect(port), data))
                for name, data in requests.items()
            }
            half = asyncio.create_task(ask_in_halves(halves, requests["pay"], sent))
            await asyncio.sleep(0.4)
            assert not any(task.done() for task in asking.values())
            began = loop.time()
            for signum in signals:
                child.send_signal(signum)
                await asyncio.sleep(SIGNAL_INTERVAL_S)
            answers = await asyncio.gather(*asking.values())
            replies = dict(zip(asking, answers, strict=True))
            answered_s = loop.time() - began
            sent.set()
            replies["half"] = await half
            kept_reply = await ask_on(kept, requests["look"])
            await asyncio.wait_for(child.wait(), 2 * GRACE_S)
            took_s = loop.time() - began
    assert {n: (r.status, r.whole) for n, r in replies.items()} == dict.fromkeys(
        replies, (503, True)
    )
    assert all(float(reply.headers["retry-after"]) for reply in replies.values())
    # An idle connection may be closed before its next request is read.
    assert kept_reply.status in (0, 503)
    assert child.returncode == 0
    assert answered_s < UNREAD_S
    assert took_s < GRACE_S


MOMENTS_S = (0.0, 0.02, 0.06, 0.12, 0.25, 0.6)  # from the first connection


@pytest.mark.parametrize("moment_s", MOMENTS_S)
async def test_no_request_is_dropped_at_any_moment_of_a_start(tmp_path, moment_s):
    """The process ended without an answer to what it had read since it listened."""
    loop, ends = asyncio.get_running_loop(), []

    async def call(port: int, number: int) -> None:
        try:
            streams = await asyncio.open_connection("127.0.0.1", port)
        except ConnectionError:
            return
        began = loop.time()
        reply = await ask_on(streams, request("/pay/x", request_id=f"{number}"))
        took_s = loop.time() - began
        ends.append((reply.status, reply.whole, took_s < UNREAD_S or reply.whole))
        streams[1].close()

    async with starting_world() as world:
        world.store.faults = StoreFaults(slow_s=0.05)
        async with node_process(world, tmp_path, "vm-9", b'"starting"') as (
            child,
            port,
        ):
            (await connect(port))[1].close()
            stop_at, number, calls = loop.time() + moment_s, 0, []
            while child.returncode is None:
                calls.append(asyncio.create_task(call(port, number)))
                number += 1
                if stop_at is not None and loop.time() >= stop_at:
                    child.send_signal(signal.SIGTERM)
                    stop_at = None
                await asyncio.sleep(CALL_INTERVAL_S)
            await asyncio.gather(*calls)
    assert child.returncode == 0
    assert ends
    assert [end for end in ends if not end[2]] == []
    assert {status for status, whole, _ in ends if whole} <= {200, 503}


async def test_requests_are_answered_when_the_start_fails(monkeypatch):
    """The process ended with its traceback, and they got no answer."""
    failing = asyncio.Event()
    nodes: list[relay.RelayNode] = []

    async def fail(node: relay.RelayNode) -> None:
        nodes.append(node)
        await failing.wait()
        raise RuntimeError("the start failed")

    async with starting_world() as world:
        settings = world.settings()
    monkeypatch.setattr(relay.RelayNode, "_load", fail)
    running = asyncio.create_task(relay.serve(settings, lambda: settings))
    await world.until(lambda: nodes)
    asking = asyncio.create_task(
        ask_on(await connect(nodes[0].caller_server.port), request("/pay/x"))
    )
    await asyncio.sleep(0.1)
    failing.set()
    with pytest.raises(RuntimeError, match="the start failed"):
        await running
    reply = await asking
    assert (reply.status, reply.whole) == (503, True)


async def test_a_node_that_is_stopped_while_it_joins_leaves_no_roster_row(monkeypatch):
    """Its row stayed, and other nodes took it for a member that had just joined."""

    async def wait_forever(roster: Roster, vm: str) -> None:
        await asyncio.Event().wait()

    monkeypatch.setattr(Roster, "contacts", wait_forever)
    async with starting_world() as world:
        rows = world.store.rows
        await world.until(lambda: any(table == "roster" for table, _ in rows))
        await world.node.stop(world.node.clock())
        assert not any(table == "roster" for table, _ in rows)
