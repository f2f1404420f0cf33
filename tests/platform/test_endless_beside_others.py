"""Calls are answered in time beside answers of other endpoints that never end."""

import asyncio
import socket
import threading
import time
from contextlib import suppress
from dataclasses import dataclass, field

import pytest
from loguru import logger

from knapweedhinge.conf.relay import ProcessLimits, Promises
from knapweedhinge.http1 import Pool, PoolSettings
from knapweedhinge.test.replica import Replica
from tests.platform.world import World, catalog, chat, request, route

HEAD = (
    b"HTTP/1.1 200 OK\r\nKnapweedhinge-Replica-Stamp: x\r\n"
    b"Knapweedhinge-Request-Id: %s\r\n"
)
STREAM = HEAD + b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
FLOODS = 8  # endless answers at the same time
WATCHED_S = 1.5
OBJECTIVE_S = 1.0  # of the calls beside them
# Processor time for which the event loop may be held: the platform wants each event
# of a stream to be passed on within this time.
MAX_HELD_S = 0.12
MUCH_BYTES = 48 * 1024 * 1024  # what an endpoint sends on a connection at most
SOCKET_TIMEOUT_S = 4.0


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


FIRST_EVENT = b"id: 1\ndata: x\n\n"
STREAMS = {
    # head, then the bytes that are repeated without end
    "comments": (STREAM + CHUNKED, chunk(b":\n\n" * 5000)),
    "comments after an event": (
        STREAM + CHUNKED + chunk(FIRST_EVENT),
        chunk(b":\n\n" * 5000),
    ),
    "comment lines": (STREAM + CHUNKED, chunk(b":\n" * 8000)),
    "empty lines": (STREAM + CHUNKED, chunk(b"\n" * 16000)),
    "small chunks": (STREAM + CHUNKED, chunk(b":") * 2000),
    "small chunks after an event": (
        STREAM + CHUNKED + chunk(FIRST_EVENT),
        chunk(b":") * 2000,
    ),
    "repeated events": (STREAM + CHUNKED, chunk(FIRST_EVENT * 1000)),
    "unframed comments": (STREAM + b"\r\n", b":\n\n" * 5000),
    "one long line": (STREAM + b"\r\n", b"x" * 16000),
    "with a length": (
        STREAM + b"Content-Length: 9000000000\r\n\r\n",
        b":\n\n" * 5000,
    ),
}
PLAIN = {
    "small chunks": (HEAD + CHUNKED, chunk(b"x") * 2000),
    "chunks": (HEAD + CHUNKED, chunk(b"x" * 16000)),
    "unframed": (HEAD + b"\r\n", b"x" * 16000),
    "with a length": (HEAD + b"Content-Length: 9000000000\r\n\r\n", b"x" * 16000),
    "chunk extension": (HEAD + CHUNKED + b"1;", b"x" * 16000),
    "headers": (HEAD, b"Name: value\r\n" * 1000),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
}
ROUTES = {
    # kind of the route, its fields, whether its calls ask for a stream
    "resumable": ("stream", {"attempts": 4}),
    "not resumable": ("stream", {"resumable": False}),
    "safe": ("safe", {"attempts": 4, "service": "engine"}),
    "unsafe": ("unsafe", {"service": "engine"}),
}
CASES = [
    pytest.param(kind, fields, head, piece, id=f"{name}: {flood}")
    for name, (kind, fields) in ROUTES.items()
    for flood, (head, piece) in (STREAMS if kind == "stream" else PLAIN).items()
]


@dataclass
class EndlessReplica:
    """An endpoint in a thread, so that its work doesn't hold up the node's loop."""

    id: str
    head: bytes
    piece: bytes
    _conns: list[socket.socket] = field(default_factory=list)
    _threads: list[threading.Thread] = field(default_factory=list)

    async def start(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._run(self._accept)

    async def stop(self) -> None:
        """End all threads; one that ran on would take time from later tests."""
        self._listener.shutdown(socket.SHUT_RDWR)  # a close alone wakes no accept()
        self._threads[0].join(SOCKET_TIMEOUT_S)
        for conn in self._conns:
            with suppress(OSError):  # the thread may have closed it
                conn.shutdown(socket.SHUT_RDWR)
        for thread in self._threads:
            thread.join(SOCKET_TIMEOUT_S)
        self._listener.close()
        assert not any(thread.is_alive() for thread in self._threads)

    def record(self) -> dict:
        port = self._listener.getsockname()[1]
        return Replica(self.id, "engine").record_at(f"127.0.0.1:{port}")

    def _run(self, work, *args) -> None:
        thread = threading.Thread(target=work, args=args, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self._conns.append(conn)
            self._run(self._flood, conn)

    def _flood(self, conn: socket.socket) -> None:
        conn.settimeout(SOCKET_TIMEOUT_S)
        head, sent = b"", 0
        try:
            while b"\r\n\r\n" not in head:
                if not (data := conn.recv(65536)):
                    return
                head += data
            request_id = head.lower().split(b"request-id: ")[1].split(b"\r\n")[0]
            conn.sendall(self.head.replace(b"%s", request_id))
            while sent < MUCH_BYTES:
                conn.sendall(self.piece)
                sent += len(self.piece)
        except OSError:
            pass
        finally:
            conn.close()


async def longest_hold_s() -> float:
    """Return, once cancelled, the most processor time between two turns of the loop."""
    longest, at = 0.0, time.thread_time()
    try:
        while True:
            await asyncio.sleep(0)
            now = time.thread_time()
            longest, at = max(longest, now - at), now
    except asyncio.CancelledError:
        return longest


@pytest.mark.parametrize("kind,fields,head,piece", CASES)
async def test_calls_are_answered_in_time_beside_endless_answers(
    kind, fields, head, piece
):
    """Bytes that never became an event took the processor from all other calls."""
    endless = [EndlessReplica(f"endless-{n}", head, piece) for n in range(4)]
    routes = [route("look", "safe"), route("flood", kind, **fields)]
    cfg = catalog(routes=routes)
    replicas = [*endless, Replica("sound", "shop")]
    async with World(
        replicas,
        cfg,
        process=ProcessLimits(memory_mb=64.0),
        promises=Promises(retry_allowance=200.0),
    ) as world:
        data = chat() if kind == "stream" else request("/chat/x")
        data = data.replace(b"/chat/x", b"/flood/x")
        floods = [
            asyncio.create_task(world.ask(data.replace(b"r1", b"f%d" % n)))
            for n in range(FLOODS)
        ]
        holding = asyncio.create_task(longest_hold_s())
        times = []
        began = time.monotonic()
        while time.monotonic() - began < WATCHED_S:
            at = time.monotonic()
            reply = await world.ask(request("/look/x"))
            times.append(time.monotonic() - at)
            assert reply.status == 200
            await asyncio.sleep(0.02)
        holding.cancel()
        held_s = await holding
        for flood in floods:
            flood.cancel()
        await asyncio.gather(*floods, return_exceptions=True)
    figures = (
        f"{len(times)} calls, {max(times):.3f} s at most, loop held {held_s:.3f} s"
    )
    logger.info(figures)
    assert max(times) < OBJECTIVE_S
    assert held_s < MAX_HELD_S


SOUND = {
    # chunks of a sound answer's body
    "single bytes": [b"x"] * 16_000,
    "pairs of bytes, many": [b"xy"] * 20_000,
    "three bytes, without end": [b"xyz"] * 200_000,
    "a large body": [b"x" * 60_000] * 50,
}


@pytest.mark.parametrize("chunks", SOUND.values(), ids=SOUND)
async def test_a_sound_answer_in_small_pieces_is_read_whole(chunks):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for start in range(0, len(chunks), 1000):
            writer.write(b"".join(map(chunk, chunks[start : start + 1000])))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    pool = Pool(PoolSettings(), *server.sockets[0].getsockname()[:2])
    channel = await pool.acquire(0.0)
    channel.send(b"GET / HTTP/1.1\r\n\r\n", lambda headers: True)
    assert (await channel.head()).status == 200
    size = 0
    while data := await channel.read():
        size += len(data)
    assert size == sum(map(len, chunks))
    pool.release(channel, 0.0)
    pool.close_all()
    server.close()


async def test_a_stream_that_repeats_what_the_caller_has_goes_on():
    """An endpoint may resume from the start; only endless repetition breaks it off."""
    replicas = [Replica(f"e-{n}", "engine", events=30) for n in range(2)]
    for replica in replicas:
        replica.faults.cut_in_event = 20
        replica.faults.repeat_from_start = True
    async with World(replicas, catalog()) as world:
        asking = asyncio.create_task(world.ask(chat()))
        await world.until(lambda: any(replica.calls for replica in replicas))
        for replica in replicas:
            if not replica.calls:
                replica.faults.cut_in_event = None
        reply = await asking
    assert (reply.status, reply.whole) == (200, True)
    assert reply.numbers == list(range(1, 31))
