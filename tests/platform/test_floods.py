"""Slow, half-open and flooding callers cost bounded descriptors and memory."""

import asyncio

import pytest

from knapweedhinge.conf.relay import ProcessLimits
from knapweedhinge.test.replica import Replica
from tests.platform.world import World, catalog, request

FILES = 64
MOST = 16  # connections of callers that a process with so many files keeps
MEMORY_MB = 64.0
HELD = 0.2 * MEMORY_MB * 1024 * 1024
LARGE = 4 * 1024 * 1024
HEAD = request("/pay/x", body=b"").removesuffix(b"\r\n")


class Flood:
    """Connections that say something and then nothing more."""

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
    row = catalog(limits={"maxHeaderBytes": 16384, "maxBodyBytes": LARGE})
    return World([Replica("shop-0", "shop")], row, process=limits)


FLOODS = [
    # what each of many connections sends
    b"",
    b"POST /pay/x HT",
    HEAD,
    HEAD + b"Content-Length: 100\r\n\r\nbegun",
]


@pytest.mark.parametrize("data", FLOODS)
async def test_connections_are_bounded_and_callers_served(data):
    async with world() as here:
        flood = Flood(here)
        await flood.open(5 * MOST, data)
        assert len(here.node.caller_server.connections) <= MOST
        replies = [await here.ask(request("/pay/x", request_id=f"r{n}")) for n in "abc"]
        assert [one.status for one in replies] == [200, 200, 200]
        lines = await flood.answers()
        assert all(b" 408 " in line for line in lines if line)
        flood.close()


async def test_a_request_that_runs_is_not_given_up_for_others():
    async with world() as here:
        here.replicas["shop-0"].faults.late_s = 0.5
        asked = [
            asyncio.create_task(here.ask(request("/pay/x", request_id=f"r{n}")))
            for n in range(3)
        ]
        await here.until(lambda: len(here.replicas["shop-0"].calls) == 3)
        flood = Flood(here)
        await flood.open(5 * MOST, b"POST")
        assert [(await one).status for one in asked] == [200] * 3
        flood.close()


async def test_bodies_hold_bounded_memory_and_small_calls_pass():
    async with world() as here:
        flood = Flood(here)
        head = HEAD + b"Content-Length: %d\r\n\r\n" % LARGE
        await flood.open(8, head + bytes(LARGE - 1024 * 1024))
        await here.until(lambda: here.node.caller_server.held_bytes > HELD / 2)
        assert here.node.caller_server.held_bytes <= HELD
        reply = await here.ask(request("/pay/x"))
        assert reply.status == 200
        refused = [line for line in await flood.answers() if line]
        assert refused and all(b" 503 " in line for line in refused)
        flood.close()
        await here.until(lambda: here.node.caller_server.held_bytes == 0)
        assert not [one for one in here.replicas["shop-0"].calls if len(one.body) > 5]


ENDED = [
    # a request, its status
    (request("/pay/x", body=bytes(LARGE + 1)), 413),
    (request("/pay/x", body=bytes(LARGE - 1)), 200),
    (request("/none/x", body=bytes(1000)), 404),
]


@pytest.mark.parametrize("data,status", ENDED)
async def test_a_body_is_held_until_its_call_has_ended(data, status):
    async with world() as here:
        flood, caller_server, seen = Flood(here), here.node.caller_server, []
        caller_server.on_fault = lambda _: seen.append(caller_server.held_bytes)
        await flood.open(1, data)
        await here.until(lambda: caller_server.held_bytes == 0)
        assert not any(seen)
        (line,) = await flood.answers()
        assert b" %d " % status in line
        flood.close()
