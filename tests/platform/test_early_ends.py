"""Answers that end before they are whole, by framing, and answers without framing."""

import asyncio

import pytest

from knapweedhinge.http1 import Pool, PoolSettings, TransportError
from knapweedhinge.http1.channel import MAX_BUFFERED_BYTES
from knapweedhinge.test.replica import Replica
from tests.platform.world import World, catalog, chat, request

BODY = b"whole body"
HEADS = [
    b"HTTP/1.1 200 OK\r\nKnapweedhinge-Request-Id: r1\r\nContent-Length: 10\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nKnapweedhinge-Request-Id: r1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nKnapweedhinge-Request-Id: r1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.0 200 OK\r\nKnapweedhinge-Request-Id: r1\r\n\r\n",
]


async def read_answer(sent: bytes) -> tuple[int, bytes]:
    """Return status and body of an answer whose server closes after ``sent``."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        pool = Pool(PoolSettings(), "127.0.0.1", server.sockets[0].getsockname()[1])
        channel = await pool.acquire(0.0)
        try:
            channel.send(b"GET / HTTP/1.1\r\n\r\n", lambda headers: True)
            head = await channel.head()
            chunks = []
            while data := await channel.read():
                chunks.append(data)
            return head.status, b"".join(chunks)
        finally:
            pool.close_all()


@pytest.mark.parametrize("head", HEADS, ids=["length", "close", "chunks", "http-1.0"])
async def test_no_answer_whose_head_is_cut_anywhere_counts_as_an_answer(head):
    for size in range(len(head)):
        with pytest.raises(TransportError):
            await read_answer(head[:size])


FRAMED = [
    # head, what follows it, body if it is whole, else None
    (HEADS[0], BODY, BODY),
    (HEADS[0], BODY[:-1], None),
    (HEADS[0], b"", None),
    (HEADS[1], BODY, BODY),
    (HEADS[2], b"a\r\nwhole body\r\n0\r\n\r\n", BODY),
    (HEADS[2], b"a\r\nwhole body\r\n0\r\n", None),
    (HEADS[2], b"a\r\nwhole body\r\n", None),
    (HEADS[2], b"a\r\nwhole", None),
    (HEADS[3], BODY, BODY),
]


@pytest.mark.parametrize("head,data,body", FRAMED)
async def test_the_framing_tells_whether_a_body_is_whole(head, data, body):
    if body is None:
        with pytest.raises(TransportError):
            await read_answer(head + data)
    else:
        assert await read_answer(head + data) == (200, body)


async def test_a_connection_whose_large_answer_nobody_read_serves_the_next_request():
    """It was reused with its reading paused, so that no further answer arrived."""
    get = b"GET / HTTP/1.1\r\n\r\n"

    async def answer(reader, writer):
        # The last byte of the first body both pauses the reading and ends the answer.
        for body in (b"x" * (MAX_BUFFERED_BYTES + 1), b"next"):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            writer.write(body)

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    pool = Pool(PoolSettings(), "127.0.0.1", server.sockets[0].getsockname()[1])
    channel = await pool.acquire(0.0)
    channel.send(get, lambda headers: True)
    async with asyncio.timeout(5.0):
        while not channel.complete:
            await asyncio.sleep(0.001)
    pool.release(channel, 0.0)
    assert await pool.acquire(0.0) is channel
    channel.send(get, lambda headers: True)
    async with asyncio.timeout(2.0):
        assert await channel.read() == b"next"
    pool.close_all()
    server.close()


def replicas(service: str, **faults) -> list[Replica]:
    """Return a faulty endpoint of a service and a sound one."""
    first, second = (Replica(f"{service}-{n}", service) for n in range(2))
    for name, value in faults.items():
        setattr(first.faults, name, value)
    return [first, second]


async def answer_of(name: str, **faults):
    """Return the answer to a call whose faulty endpoint is preferred, and all calls."""
    found = replicas("engine" if name == "chat" else "shop", **faults)
    async with World(found, catalog()) as world:
        world.node.ctx.loads.began(found[1].id, 9.0)
        # Until then the node has little of the retry budget, as there may be others.
        await world.until(lambda: world.node.peers.members)
        reply = await world.ask(chat() if name == "chat" else request(f"/{name}/x"))
    return reply, [call for replica in found for call in replica.calls]


EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))


@pytest.mark.parametrize("name", ["look", "pay", "chat"])
async def test_an_answer_that_ends_with_its_connection_is_whole(name):
    reply, calls = await answer_of(name, until_close=True)
    assert (reply.status, reply.whole, len(calls)) == (200, True, 1)
    assert reply.body == (EVENTS if name == "chat" else b"shop-0 hello")


@pytest.mark.parametrize("size", [0, 1, 15, 17, 30, 60])
@pytest.mark.parametrize(
    "name,status,runs", [("look", 200, 2), ("pay", 502, 1), ("chat", 200, 2)]
)
async def test_no_caller_gets_an_empty_answer_when_a_head_is_cut(
    name, status, runs, size
):
    reply, calls = await answer_of(name, close_in_head=size)
    assert (reply.status, reply.whole, len(calls)) == (status, True, runs)
    if status == 200:
        assert reply.body == (EVENTS if name == "chat" else b"shop-1 hello")


@pytest.mark.parametrize("until_close", [True, False], ids=["close", "chunks"])
@pytest.mark.parametrize("size", range(0, len(EVENTS), 7))
async def test_a_stream_that_ends_inside_an_event_or_before_the_first_is_broken_off(
    size, until_close
):
    reply, calls = await answer_of("chat", close_after=size, until_close=until_close)
    whole_events = size > 0 and EVENTS[:size].endswith(b"\n\n")
    resumed = not (until_close and whole_events)
    assert len(calls) == 1 + resumed
    assert (reply.status, reply.whole) == (200, True)
    assert reply.body == (EVENTS if resumed else EVENTS[:size])


async def test_a_resumed_stream_that_ends_before_its_first_event_is_broken_off():
    engines = [Replica(f"engine-{n}", "engine") for n in range(3)]
    engines[0].faults.cut_in_event = 3
    engines[1].faults.close_after, engines[1].faults.until_close = 0, True
    async with World(engines, catalog()) as world:
        for number, engine in enumerate(engines):
            world.node.ctx.loads.began(engine.id, 9.0 * number)
        await world.until(lambda: world.node.peers.members)
        reply = await world.ask(chat())
    assert [len(engine.calls) for engine in engines] == [1, 1, 1]
    assert (reply.whole, reply.body) == (True, EVENTS)
