"""Tests of the server's connections."""

import asyncio
import contextlib
import socket

import pytest

from knapweedhinge.http1 import Limits, Server

PIECES = (b"first piece", b"second piece", b"third piece")
REQUESTS = 20  # on one connection, as the kernel acknowledges the first ones at once


async def test_a_piece_of_an_answer_does_not_wait_until_another_is_acknowledged():
    late, ended = [], asyncio.Event()

    async def handle(exchange):
        exchange.begin(200, ())
        arrived = b""
        for piece in PIECES:
            exchange.send(piece)
            await asyncio.sleep(0.001)
            with contextlib.suppress(BlockingIOError):
                arrived = client.recv(4096, socket.MSG_PEEK)
            if piece not in arrived:
                late.append(piece)
        exchange.end()
        ended.set()

    server = Server(handle, Limits)
    await server.start("127.0.0.1", 0)
    try:
        with socket.create_connection(("127.0.0.1", server.port)) as client:
            client.setblocking(False)
            for _ in range(REQUESTS):
                client.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                await ended.wait()
                ended.clear()
                data = b""
                while not data.endswith(b"0\r\n\r\n"):
                    await asyncio.sleep(0.005)
                    with contextlib.suppress(BlockingIOError):
                        data += client.recv(4096)
    finally:
        await server.stop()
    assert late == []


STOPS = {
    # requests sent at once, whether the listener is closed, statuses of the answers
    "draining": (3, False, [200, 200, 200]),
    "closed": (3, True, [200, 503, 503]),
    "many, closed": (60, True, [200] + 59 * [503]),
}


@pytest.mark.parametrize("count,closed,statuses", STOPS.values(), ids=STOPS)
async def test_requests_that_wait_are_answered_by_a_server_that_stops(
    count, closed, statuses
):
    """Its connection was closed behind the first answer, and the others were lost."""
    may_answer = asyncio.Event()

    async def handle(exchange):
        await may_answer.wait()
        exchange.respond(200, (), b"ok")

    server = Server(handle, Limits)
    await server.start("127.0.0.1", 0)
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(count * b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.05)
        server.drain()
        if closed:
            server.close_listener()
        may_answer.set()
        async with asyncio.timeout(2.0):
            data = await reader.read()
        writer.close()
    finally:
        await server.stop()
    heads = data.split(b"HTTP/1.1 ")[1:]
    assert [int(head[:3]) for head in heads] == statuses
    closing = [b"Connection: close" in head for head in heads]
    assert closing == [False] * (count - 1) + [True]
