"""A node's process ends by itself before SIGKILL, whatever is silent beside it."""

import asyncio
import os
import signal
import socket
import sys
from contextlib import asynccontextmanager, suppress

import json5
import pytest

from knapweedhinge.conf import ListenSettings
from knapweedhinge.conf.convert import to_mapping
from knapweedhinge.conf.relay import Promises
from knapweedhinge.platform.program import SETTINGS_VARIABLE
from knapweedhinge.test.replica import Replica
from knapweedhinge.test.rowstore import StoreFaults
from tests.platform.world import World, catalog, chat, exchange, request, route
from tests.processes import free_port

GRACE_S = 3.0
SLICE_S = 0.1  # a process that is short of processor time runs for a part of each
RUNNING_SHARE = 0.25
STARVED_PROCESSES = 20
OPEN_STREAMS = 60
UNREAD_CALLERS = 20
BIG = b"x" * 60_000


@asynccontextmanager
async def node_process(
    world: World, tmp_path, vm: str, logged: bytes = b'"joined peers"'
):
    """Run a node of the world as a process; yield the process and its port.

    ``logged`` must be in its log by then.
    """
    port = free_port()
    listen = ListenSettings(vm, "127.0.0.1", port, "b", "here", free_port())
    cfg = to_mapping(world.settings()) | {"listen": to_mapping(listen)}
    cfg["doors"]["callers"] = f"127.0.0.1:{port}"
    path, log = tmp_path / f"{vm}.json5", tmp_path / f"{vm}.log"
    path.write_text(json5.dumps(cfg))
    with log.open("wb") as out:
        child = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "knapweedhinge.platform"),
            env=os.environ | {SETTINGS_VARIABLE: str(path)},
            stdout=out,
        )
    try:
        await world.until(lambda: logged in log.read_bytes(), 20.0)
        yield child, port
    finally:
        if child.returncode is None:
            child.kill()
        await child.wait()
        sys.stdout.write(log.read_text())


async def starve(child) -> None:
    """Let a process run for a part of the time only, until it has ended.

    ``child.send_signal()`` would first poll, and so take the exit status that asyncio's
    watcher waits for; asyncio then reports the status 255.
    """
    pidfd = os.pidfd_open(child.pid)
    try:
        while child.returncode is None:
            signal.pidfd_send_signal(pidfd, signal.SIGSTOP)
            await asyncio.sleep(SLICE_S * (1 - RUNNING_SHARE))
            signal.pidfd_send_signal(pidfd, signal.SIGCONT)
            await asyncio.sleep(SLICE_S * RUNNING_SHARE)
    except ProcessLookupError:
        return
    finally:
        os.close(pidfd)


async def ask_unread(port: int, data: bytes) -> asyncio.StreamWriter:
    """Send a request whose answer is never read; return the connection."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    _, writer = await asyncio.open_connection(sock=sock, limit=1024)
    writer.transport.pause_reading()
    writer.write(data)
    return writer


def stop_world() -> World:
    """Return a world whose streams stall before their third event."""
    engines = [Replica(f"engine-{n}", "engine", events=4) for n in range(3)]
    for engine in engines:
        engine.faults.stall_before_event = 3
    routes = [
        route("look", "safe", timeoutMs=60_000, targetLatencyMs=60_000),
        route("chat", "stream", timeoutMs=60_000, gapAimMs=60_000),
    ]
    services = [{**service, "maxConns": 1024} for service in catalog()["services"]]
    return World(
        [*engines, Replica("shop-0", "shop")],
        catalog(routes=routes, services=services),
        promises=Promises(grace_s=GRACE_S),
        listen=ListenSettings("vm-1", "127.0.0.1", 0, "a", "here", free_port()),
    )


async def test_a_starved_process_keeps_its_exit_status(monkeypatch):
    """A process that ended with status 0 while it was starved was reported with 255."""
    monkeypatch.setattr(sys.modules[__name__], "SLICE_S", 0.0)
    ended = "import os, time; time.sleep(0.02); os._exit(0)"
    for _ in range(STARVED_PROCESSES):
        child = await asyncio.create_subprocess_exec(sys.executable, "-S", "-c", ended)
        starving = asyncio.create_task(starve(child))
        assert await child.wait() == 0
        await starving


STOPS = {
    # what falls silent at the SIGTERM, whether processor time is short
    "all well": ("", False),
    "short of time": ("", True),
    "silent store": ("store", False),
    "silent store, short of time": ("store", True),
    "silent peer": ("peer", False),
    "silent store and peer, short of time": ("store, peer", True),
}


@pytest.mark.parametrize("silent,starved", STOPS.values(), ids=STOPS)
async def test_a_process_under_load_ends_before_the_grace_is_over(
    tmp_path, silent, starved
):
    """It was killed with calls open where the end took more time than is reserved."""
    loop, world = asyncio.get_running_loop(), stop_world()
    async with (
        world,
        node_process(world, tmp_path, "vm-8") as (peer, _),
        node_process(world, tmp_path, "vm-9") as (child, port),
    ):
        await world.until(lambda: len(world.node.peers.members) == 3, 10.0)
        unread = [
            await ask_unread(port, request("/look/x", body=BIG, request_id=f"u{n}"))
            for n in range(UNREAD_CALLERS)
        ]
        streams = [
            asyncio.create_task(exchange(port, chat(f"s{n}"), timeout_s=60.0))
            for n in range(OPEN_STREAMS)
        ]
        engines = [r for r in world.replicas.values() if r.service == "engine"]
        await world.until(
            lambda: sum(len(engine.calls) for engine in engines) >= OPEN_STREAMS, 10.0
        )
        if "store" in silent:
            world.store.faults = StoreFaults(mode="silent")
        if "peer" in silent:
            peer.send_signal(signal.SIGSTOP)
        starving = asyncio.create_task(starve(child)) if starved else None
        began = loop.time()
        child.send_signal(signal.SIGTERM)
        replies = await asyncio.gather(*streams)
        await asyncio.wait_for(child.wait(), 3 * GRACE_S)
        took_s = loop.time() - began
        if starving is not None:
            await starving
        for writer in unread:
            writer.close()
    assert child.returncode == 0
    assert took_s < GRACE_S
    assert {(reply.status, reply.whole) for reply in replies} == {(200, False)}


@pytest.mark.parametrize("part", ["peers", "feeds", "_tasks", "directory"])
async def test_a_stop_waits_for_no_part_that_hangs(monkeypatch, part):
    loop, world, released = asyncio.get_running_loop(), stop_world(), asyncio.Event()

    async def hang() -> None:
        """Ignore being cancelled."""
        while not released.is_set():
            with suppress(asyncio.CancelledError):
                await released.wait()

    async with world:
        asking = asyncio.create_task(world.ask(chat(), timeout_s=60.0))
        await world.until(lambda: any(r.calls for r in world.replicas.values()))
        with monkeypatch.context() as patch:
            patch.setattr(getattr(world.node, part), "stop", hang)
            stopping = asyncio.create_task(world.node.stop(world.node.clock()))
            began = loop.time()
            await asyncio.wait((stopping, asking), timeout=GRACE_S)
            took_s = loop.time() - began
            stopped, told = stopping.done(), asking.done()
            released.set()
            await stopping
        reply = await asking
    assert stopped and told and took_s < GRACE_S
    assert (reply.status, reply.whole) == (200, False)
