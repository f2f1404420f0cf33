"""Answers of endpoints that never end, in the head or in the body."""

import asyncio
import gc
import tracemalloc
from dataclasses import dataclass, field

import pytest

from knapweedhinge.conf.relay import ProcessLimits, Promises
from knapweedhinge.test.replica import Replica
from tests.platform.world import World, catalog, chat, request, route

MEMORY_MB = 64.0
MAX_GROWTH_BYTES = 0.25 * MEMORY_MB * 1024 * 1024
PIECE_BYTES = 16 * 1024
MUCH_BYTES = 64 * 1024 * 1024  # what an endpoint sends if nobody closes before
HEAD = b"HTTP/1.1 200 OK\r\n"
PROPER_HEAD = HEAD + b"Knapweedhinge-Replica-Stamp: x\r\n"
STREAM_HEAD = PROPER_HEAD + b"Content-Type: text/event-stream\r\n"


@dataclass
class Endless:
    """A way to answer: ``head``, then ``piece`` again and again until closed."""

    head: bytes
    piece: bytes


JUNK = b"x" * PIECE_BYTES
ENDLESS_HEADS = {
    "reason": Endless(b"HTTP/1.1 200 ", JUNK),
    "header name": Endless(HEAD, JUNK),
    "header value": Endless(HEAD + b"Name: ", JUNK),
    "headers": Endless(HEAD, b"Name: value\r\n" * 1000),
    "interim heads": Endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "no HTTP": Endless(b"", b"\0" * PIECE_BYTES),
    "answer to another call": Endless(
        HEAD + b"Knapweedhinge-Request-Id: other\r\nContent-Length: 9000000000\r\n\r\n",
        JUNK,
    ),
}
ENDLESS_BODIES = {
    "unframed": Endless(PROPER_HEAD + b"%s\r\n", JUNK),
    "length": Endless(PROPER_HEAD + b"%sContent-Length: 9000000000\r\n\r\n", JUNK),
    "chunks": Endless(
        PROPER_HEAD + b"%sTransfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%s\r\n" % (PIECE_BYTES, JUNK),
    ),
    "chunk extension": Endless(
        PROPER_HEAD + b"%sTransfer-Encoding: chunked\r\n\r\n1;", JUNK
    ),
    "trailer": Endless(
        PROPER_HEAD + b"%sTransfer-Encoding: chunked\r\n\r\n0\r\nName: ", JUNK
    ),
}
ENDLESS_STREAMS = {
    "event": Endless(STREAM_HEAD + b"%s\r\ndata: ", JUNK),
    "chunk extension": Endless(
        STREAM_HEAD + b"%sTransfer-Encoding: chunked\r\n\r\n1;", JUNK
    ),
}


@dataclass
class EndlessReplica:
    """An endpoint that answers each request without an end."""

    id: str
    service: str
    endless: Endless
    sent: dict[bytes, int] = field(default_factory=dict)  # bytes, by request id
    open: int = 0  # connections

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def stop(self) -> None:
        self._server.close()

    def record(self) -> dict:
        port = self._server.sockets[0].getsockname()[1]
        return {**Replica(self.id, self.service).record_at(f"127.0.0.1:{port}")}

    async def _serve(self, reader, writer) -> None:
        self.open += 1
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            name = b"Knapweedhinge-Request-Id: "
            start = head.index(name)
            echo = head[start : head.index(b"\r\n", start) + 2]
            writer.write(self.endless.head.replace(b"%s", echo))
            request_id = echo.removeprefix(name).strip()
            self.sent[request_id] = 0
            while self.sent[request_id] < MUCH_BYTES:
                writer.write(self.endless.piece)
                await writer.drain()
                self.sent[request_id] += len(self.endless.piece)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open -= 1
            writer.close()


def world(service: str, endless: Endless, sound: int) -> World:
    """Return a node with endpoints that answer without end, and ``sound`` others."""
    replicas = [EndlessReplica(f"endless-{n}", service, endless) for n in range(2)]
    replicas += [Replica(f"sound-{n}", service) for n in range(sound)]
    routes = [
        route("look", "safe", attempts=4),
        route("pay", "unsafe"),
        route("chat", "stream", attempts=4),
    ]
    return World(
        replicas,
        catalog(routes=routes),
        process=ProcessLimits(memory_mb=MEMORY_MB),
        promises=Promises(retry_allowance=200.0),
    )


def endless_replicas(here: World) -> list[EndlessReplica]:
    return [r for r in here.replicas.values() if isinstance(r, EndlessReplica)]


async def assert_bounded(here: World) -> None:
    endless = endless_replicas(here)
    await here.until(lambda: not any(replica.open for replica in endless))
    assert any(replica.sent for replica in endless)
    for replica in endless:
        assert all(sent < MUCH_BYTES / 2 for sent in replica.sent.values())


@pytest.mark.parametrize(
    "endless",
    [*ENDLESS_HEADS.values(), *ENDLESS_BODIES.values()],
    ids=[*ENDLESS_HEADS, *(f"body: {name}" for name in ENDLESS_BODIES)],
)
async def test_an_endless_answer_is_repeated_elsewhere_or_an_error(endless):
    async with world("shop", endless, sound=1) as here:
        async with asyncio.timeout(10):
            replies = [
                await here.ask(request("/look/x", request_id=f"r{n}")) for n in range(6)
            ]
            paid = [
                await here.ask(request("/pay/x", request_id=f"p{n}")) for n in range(3)
            ]
        assert [reply.status for reply in replies] == [200] * 6
        assert all(reply.body.startswith(b"sound") for reply in replies)
        assert {reply.status for reply in paid} <= {200, 502}
        await assert_bounded(here)


@pytest.mark.parametrize(
    "endless",
    [*ENDLESS_HEADS.values(), *ENDLESS_STREAMS.values()],
    ids=[*ENDLESS_HEADS, *(f"stream: {name}" for name in ENDLESS_STREAMS)],
)
async def test_an_endless_stream_is_resumed_elsewhere(endless):
    async with world("engine", endless, sound=1) as here:
        async with asyncio.timeout(10):
            replies = [await here.ask(chat(f"r{n}")) for n in range(4)]
        assert [reply.status for reply in replies] == [200] * 4
        assert all(reply.whole for reply in replies)
        await assert_bounded(here)


@pytest.mark.parametrize(
    "endless",
    [*ENDLESS_HEADS.values(), *ENDLESS_BODIES.values()],
    ids=[*ENDLESS_HEADS, *(f"body: {name}" for name in ENDLESS_BODIES)],
)
async def test_many_endless_answers_at_once_hold_bounded_memory(endless):
    async with world("shop", endless, sound=0) as here:
        gc.collect()
        tracemalloc.start()
        try:
            before, _ = tracemalloc.get_traced_memory()
            replies = await asyncio.gather(
                *(
                    here.ask(request("/pay/x", request_id=f"r{n}"), timeout_s=8)
                    for n in range(12)
                )
            )
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        # The endpoints and the caller of this process hold a piece and a window each.
        assert peak - before < MAX_GROWTH_BYTES
        ran = {name for replica in endless_replicas(here) for name in replica.sent}
        for reply in replies:
            name = reply.headers["knapweedhinge-request-id"].encode()
            assert reply.status == (502 if name in ran else 503)
            assert b'"code":' in reply.body
