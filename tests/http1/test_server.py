"""Tests of the server's connections."""

import asyncio
import contextlib
import socket

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
