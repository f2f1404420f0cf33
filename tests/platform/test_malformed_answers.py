"""Answers whose first line, framing or end the protocol doesn't allow."""

import asyncio
import contextlib
import socket
import struct

import pytest

from knapweedhinge.test.replica import Replica
from tests.platform.world import World, ask_on, catalog, chat, request, route

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
NAMES = b"Knapweedhinge-Request-Id: r1\r\nKnapweedhinge-Replica-Stamp: s\r\n"
EVENT = b"id: 1\ndata: a\n\n"
LENGTH = b"Content-Length: %d\r\n\r\n" % len(EVENT)
KINDS = ("unsafe", "safe", "stream")
# Large enough that neither kernel takes all of it while nobody reads.
UPLOAD_BYTES = 6 * 1024 * 1024
SMALL_BUFFER_BYTES = 16 * 1024


class RawReplica(Replica):
    """An endpoint that answers each call with the same bytes.

    ``ending`` says what follows them: nothing, an orderly close (``close``), one of
    its own side only (``half-close``), a reset (``reset``), or both after each other.
    With ``early`` it answers before it has read the body, and reads no more.
    """

    answer, ending, early = b"", "", False

    async def start(self) -> None:
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self._raw = await asyncio.start_server(self._serve, sock=sock)
        self._ran = []

    async def stop(self) -> None:
        self._raw.close()

    def record(self, **fields) -> dict:
        _, port = self._raw.sockets[0].getsockname()
        return self.record_at(f"127.0.0.1:{port}", **fields)

    async def _serve(self, reader, writer) -> None:
        sock = writer.get_extra_info("socket")
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self._ran.append(head)
                if self.early:
                    writer.transport.pause_reading()
                elif b"Content-Length: " in head:
                    size = int(head.partition(b"Content-Length: ")[2].split()[0])
                    await reader.readexactly(size)
                writer.write(self.answer)
                await writer.drain()
                if self.early:
                    await asyncio.sleep(0.05)
                if "half-close" in self.ending:
                    sock.shutdown(socket.SHUT_WR)
                    await asyncio.sleep(0.05)
                if "reset" in self.ending:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    writer.transport.abort()
                if self.ending == "close":
                    writer.close()
                if self.ending:
                    return


async def ask_raw(
    kind: str, answer: bytes, ending: str = "", *, body=b"hello", method="POST"
):
    """Return the reply to a call that a raw endpoint answers, and the reply after it.

    Both are asked on one connection. The second goes to a sound endpoint; it is None
    if the connection was closed or reset.
    """
    service = "engine" if kind == "stream" else "shop"
    raw, sound = RawReplica("raw-0", service), Replica("plain-0", "plain")
    raw.answer, raw.ending, raw.early = answer, ending, len(body) > 1024
    routes = [
        route("chat", kind, attempts=1, timeoutMs=2000),
        route("look", "safe", service="plain"),
    ]
    services = [*catalog()["services"], {"name": "plain", "maxConns": 64}]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 2 * UPLOAD_BYTES}
    row = catalog(routes=routes, services=services, limits=limits)
    data = (
        chat(body=body) if kind == "stream" else request("/chat/x", body=body)
    ).replace(b"POST", method.encode(), 1)
    async with World([raw, sound], row) as world:
        port = world.node.caller_server.port
        streams = await asyncio.open_connection("127.0.0.1", port)
        first = await ask_on(streams, data)
        second = None
        with contextlib.suppress(ConnectionError):
            second = await ask_on(streams, request("/look/x", request_id="r2"))
        streams[1].close()
    return first, second


FIRST_LINES = [
    b"HTTP/1.1 000 Trouble",
    b"HTTP/1.1 001 Trouble",
    b"HTTP/1.1 099 Trouble",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 600 Trouble",
    b"HTTP/1.1 999 Trouble",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 -20 OK",
    b"HTTP/1.1 2e2 OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.2 200 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/9.9 200 OK",
    b"RTSP/1.0 200 OK",
    b"ICE/1.0 200 OK",
    b"ICY 200 OK",
    b"http/1.1 200 OK",
    b" HTTP/1.1 200 OK",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.1 200 O\x1bK",
    b"HTTP/1.1 200 O\rK",
]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("line", FIRST_LINES, ids=repr)
async def test_a_first_line_that_http_does_not_allow_is_no_answer(line, kind):
    """Its status, 000 or 999, and its body went to the caller as an answer."""
    first, _ = await ask_raw(kind, line + b"\r\n" + NAMES + LENGTH + EVENT, "close")
    assert (first.status, first.whole) == (502, True)
    assert "knapweedhinge-replica-stamp" not in first.headers


CODINGS = [
    # version, transfer coding
    (b"1.0", b"chunked"),
    (b"1.1", b"gzip, chunked"),
    (b"1.1", b"chunked, chunked"),
    (b"1.1", b"chunked, gzip"),
    (b"1.1", b"identity"),
    (b"1.1", b"chunked\r\nTransfer-Encoding: chunked"),
]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("version,coding", CODINGS)
async def test_a_transfer_coding_that_was_not_asked_for_is_no_answer(
    version, coding, kind
):
    """The header was dropped, and its body went to the caller as it was encoded."""
    head = b"HTTP/%s 200 OK\r\n%sTransfer-Encoding: %s\r\n\r\n"
    chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(EVENT), EVENT)
    answer = head % (version, NAMES, coding) + chunks
    first, _ = await ask_raw(kind, answer, "close")
    assert (first.status, first.whole) == (502, True)


ALLOWED = [
    # first line, status, whether a body follows the head
    (b"HTTP/1.1 200 OK", 200, True),
    (b"HTTP/1.0 200 OK", 200, True),
    (b"HTTP/1.1 200", 200, True),
    (b"HTTP/1.1 200 \xc3\xa9\ttext", 200, True),
    (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", 200, True),
    (b"HTTP/1.1 226 IM Used", 226, True),
    (b"HTTP/1.1 302 Found", 302, True),
    (b"HTTP/1.1 418 Teapot", 418, True),
    (b"HTTP/1.1 204 No Content", 204, False),
    (b"HTTP/1.1 304 Not Modified", 304, False),
]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("line,status,has_body", ALLOWED)
async def test_a_status_without_a_body_leaves_no_bytes_on_the_connection(
    line, status, has_body, kind
):
    """The end of a chunked body stood there behind a 204 of a stream's route."""
    body = LENGTH + EVENT if has_body else b"\r\n"
    first, second = await ask_raw(kind, line + b"\r\n" + NAMES + body)
    assert (first.status, first.whole) == (status, True)
    assert first.body == (EVENT if has_body else b"")
    assert (second.status, second.body) == (200, b"plain-0 hello")


@pytest.mark.parametrize("kind", KINDS)
async def test_an_answer_to_head_leaves_no_bytes_on_the_connection(kind):
    """The end of a chunked body stood there behind the head of a stream's route."""
    answer = b"HTTP/1.1 200 OK\r\n" + NAMES + LENGTH

    async def ask():
        raw = RawReplica("raw-0", "engine" if kind == "stream" else "shop")
        raw.answer = answer
        routes = [route("chat", kind, attempts=1, timeoutMs=2000)]
        async with World([raw], catalog(routes=routes)) as world:
            port = world.node.caller_server.port
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            data = chat(body=b"") if kind == "stream" else request("/chat/x", body=b"")
            writer.write(data.replace(b"POST", b"HEAD", 1))
            received = await reader.readuntil(b"\r\n\r\n")
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.2):
                    received += await reader.read(1024)
            writer.close()
        return received

    head, _, rest = (await ask()).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert rest == b""


UNCLEAN = {
    # bytes of the request's body, what follows the answer
    "reset": (5, "reset"),
    "reset in the upload": (UPLOAD_BYTES, "reset"),
    "close in the upload": (UPLOAD_BYTES, "close"),
    "half a close in the upload": (UPLOAD_BYTES, "half-close"),
    "half a close, then a reset, in the upload": (UPLOAD_BYTES, "half-close, reset"),
}


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("size,ending", UNCLEAN.values(), ids=UNCLEAN)
async def test_an_answer_without_length_needs_a_clean_end_to_be_whole(
    size, ending, kind
):
    """A part of it was passed on as whole, if it had begun while the call was sent."""
    answer = b"HTTP/1.1 200 OK\r\n" + NAMES + b"\r\n" + EVENT
    first, _ = await ask_raw(kind, answer, ending, body=size * b"x")
    if kind == "stream":
        assert (first.status, first.whole) == (200, False)
    else:
        assert (first.status, first.whole) == (502, True)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("ending", ["close", "half-close"])
async def test_an_answer_without_length_is_whole_after_a_clean_end(ending, kind):
    answer = b"HTTP/1.1 200 OK\r\n" + NAMES + b"\r\n" + EVENT
    first, _ = await ask_raw(kind, answer, ending)
    assert (first.status, first.whole, first.body) == (200, True, EVENT)


NAMELESS = {
    # headers, status, what the caller gets: the endpoint's status or a 502
    "nothing": (b"", 404, 502),
    "nothing, a redirect": (b"", 302, 502),
    "nothing, a server error": (b"", 500, 502),
    "the call": (b"Knapweedhinge-Request-Id: r1\r\n", 404, 404),
    "the endpoint": (b"Knapweedhinge-Replica-Stamp: s\r\n", 404, 404),
}


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("names,status,expected", NAMELESS.values(), ids=NAMELESS)
async def test_an_answer_that_names_neither_endpoint_nor_call_is_none(
    names, status, expected, kind
):
    """A 404 of what listened at an endpoint's old address went to the caller."""
    answer = b"HTTP/1.1 %d Any\r\n%s%s%s" % (status, names, LENGTH, EVENT)
    first, _ = await ask_raw(kind, answer, "close")
    assert (first.status, first.whole) == (expected, True)
    assert (first.body == EVENT) is (expected == status)
