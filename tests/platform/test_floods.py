"""Tests that slow or flooding callers use bounded file descriptors and memory."""

import asyncio

import pytest

from knapweedhinge.conf.relay import ProcessLimits
from knapweedhinge.test.replica import Replica
from tests.platform.world import World, catalog, request

FILES = 64  # file descriptors of the process
MAX_CONNECTIONS = 16  # callers' connections that a node with so many descriptors keeps
MEMORY_MB = 64.0
MAX_HELD_BYTES = 0.2 * MEMORY_MB * 1024 * 1024  # bytes of all bodies that are held
MAX_BODY_BYTES = 4 * 1024 * 1024  # bytes of the largest body allowed
REQUEST_HEAD = request("/pay/x", body=b"").removesuffix(b"\r\n")


class Flood:
    """Connections that send some bytes and then stay silent."""

    def __init__(self, world: World):
        self._port = world.node.caller_server.port
        self.streams: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def open(self, count: int, data: bytes) -> None:
        for _ in range(count):
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            self.streams.append((reader, writer))
            writer.write(data)
        await asyncio.sleep(0.1)

    async def answers(self) -> list[bytes]:
        """Return the first line that each connection got, empty for none."""
        found = []
        for reader, _ in self.streams:
            try:
                found.append(await asyncio.wait_for(reader.readline(), 0.05))
            except (TimeoutError, ConnectionResetError):
                found.append(b"")
        return found

    def close(self) -> None:
        for _, writer in self.streams:
            writer.close()


def world(**fields) -> World:
    limits = ProcessLimits(files=FILES, memory_mb=MEMORY_MB)
    row = catalog(limits={"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES})
    return World([Replica("shop-0", "shop")], row, process=limits)


FLOODS = [
    # what each of many connections sends
    b"",
    b"POST /pay/x HT",
    REQUEST_HEAD,
    REQUEST_HEAD + b"Content-Length: 100\r\n\r\nbegun",
]


@pytest.mark.parametrize("data", FLOODS)
async def test_connections_are_bounded_and_calls_answered(data):
    async with world() as here:
        flood = Flood(here)
        await flood.open(5 * MAX_CONNECTIONS, data)
        assert len(here.node.caller_server.connections) <= MAX_CONNECTIONS
        replies = [await here.ask(request("/pay/x", request_id=f"r{n}")) for n in "abc"]
        assert [reply.status for reply in replies] == [200, 200, 200]
        lines = await flood.answers()
        assert all(b" 408 " in line for line in lines if line)
        flood.close()


async def test_a_running_request_is_not_evicted():
    async with world() as here:
        here.replicas["shop-0"].faults.late_s = 0.5
        asked = [
            asyncio.create_task(here.ask(request("/pay/x", request_id=f"r{n}")))
            for n in range(3)
        ]
        await here.until(lambda: len(here.replicas["shop-0"].calls) == 3)
        flood = Flood(here)
        await flood.open(5 * MAX_CONNECTIONS, b"POST")
        assert [(await task).status for task in asked] == [200] * 3
        flood.close()


async def test_bodies_use_bounded_memory_and_small_calls_pass():
    async with world() as here:
        flood = Flood(here)
        head = REQUEST_HEAD + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
        await flood.open(8, head + bytes(MAX_BODY_BYTES - 1024 * 1024))
        await here.until(
            lambda: here.node.caller_server.held_bytes > MAX_HELD_BYTES / 2
        )
        assert here.node.caller_server.held_bytes <= MAX_HELD_BYTES
        reply = await here.ask(request("/pay/x"))
        assert reply.status == 200
        refused = [line for line in await flood.answers() if line]
        assert refused and all(b" 503 " in line for line in refused)
        flood.close()
        await here.until(lambda: here.node.caller_server.held_bytes == 0)
        assert not [
            call for call in here.replicas["shop-0"].calls if len(call.body) > 5
        ]


ENDED = [
    # request, expected status
    (request("/pay/x", body=bytes(MAX_BODY_BYTES + 1)), 413),
    (request("/pay/x", body=bytes(MAX_BODY_BYTES - 1)), 200),
    (request("/none/x", body=bytes(1000)), 404),
]


@pytest.mark.parametrize("data,status", ENDED)
async def test_a_body_is_held_until_its_call_has_ended(data, status):
    async with world() as here:
        flood, caller_server, seen = Flood(here), here.node.caller_server, []
        caller_server.on_refused = lambda _: seen.append(caller_server.held_bytes)
        await flood.open(1, data)
        await here.until(lambda: caller_server.held_bytes == 0)
        assert not any(seen)
        (line,) = await flood.answers()
        assert b" %d " % status in line
        flood.close()
