"""Answers to the chat interface whose first line or end the protocol doesn't allow."""

import asyncio
import socket
import struct
from contextlib import suppress

import aiohttp
import pytest

from knapweedhinge.conf.node import EndpointSettings
from knapweedhinge.core.exceptions import EndpointError
from knapweedhinge.endpoints import EndpointResponse
from knapweedhinge.endpoints.engine import EngineClient
from knapweedhinge.endpoints.plain import PlainClient
from knapweedhinge.endpoints.types import EngineCall, PlainCall
from knapweedhinge.routing.load import EndpointView
from tests.endpoints.test_faulty_engines import serving

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
COMPLETION = (
    b'{"id": "1", "choices": [{"message": {"content": "a"}, "finish_reason": "stop"}]}'
)
UPLOAD_BYTES = 6 * 1024 * 1024


async def complete(endpoint, session, body=b""):
    client = EngineClient(EndpointSettings(), session)
    answer = await client.complete(endpoint, EngineCall("1", "v", body, 5, 5.0))
    return answer.body


async def open_stream(endpoint, session):
    client = EngineClient(EndpointSettings(), session)
    (await client.open_stream(endpoint, EngineCall("1", "v", b"", 5, 5.0))).close()


async def resume_stream(endpoint, session):
    client = EngineClient(EndpointSettings(), session)
    (await client.resume_stream(endpoint, "1", 3, 5.0)).close()


async def call_plain(endpoint, session, body=b"", *, idempotent=True):
    client = PlainClient(EndpointSettings(), session, session)
    call = PlainCall("1", "POST", "x", "", "", body, 5.0)
    return (await client.call(endpoint, call, idempotent=idempotent)).body


async def call_once(endpoint, session, body=b""):
    return await call_plain(endpoint, session, body, idempotent=False)


async def answered(send, answer: bytes, ending: str = "close", **fields):
    """Return what ``send`` returns for an endpoint that sends these bytes."""

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if fields:
            writer.transport.pause_reading()
        elif b"Content-Length: " in head:
            size = int(head.partition(b"Content-Length: ")[2].split()[0])
            await reader.readexactly(size)
        writer.write(answer)
        await asyncio.sleep(0.05)
        sock = writer.get_extra_info("socket")
        if "half-close" in ending:
            sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(0.05)
        if "reset" in ending:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            with suppress(OSError):
                writer.transport.abort()

    async with (
        serving(serve) as port,
        aiohttp.ClientSession(response_class=EndpointResponse) as session,
    ):
        endpoint = EndpointView("e", f"http://127.0.0.1:{port}", "a", "r")
        return await send(endpoint, session, **fields)


FIRST_LINES = [
    b"HTTP/1.1 000 Trouble",
    b"HTTP/1.1 099 Trouble",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 600 Trouble",
    b"HTTP/1.1 999 Trouble",
    b"HTTP/2.0 200 OK",
    b"HTTP/0.9 200 OK",
]
ALL = [complete, open_stream, resume_stream, call_plain, call_once]


@pytest.mark.parametrize("send", ALL)
@pytest.mark.parametrize("line", FIRST_LINES, ids=repr)
async def test_a_first_line_that_http_does_not_allow_is_no_answer(line, send):
    """An answer with the status 000 went to the caller, or counted as a success."""
    head = b"%s\r\nContent-Length: %d\r\n\r\n" % (line, len(COMPLETION))
    with pytest.raises(EndpointError):
        await answered(send, head + COMPLETION)


@pytest.mark.parametrize("send", [complete, open_stream, resume_stream])
@pytest.mark.parametrize("status", [302, 307, 304])
async def test_an_engine_is_not_left_for_another_address(status, send):
    """A redirect was followed: the request ran at an address that the engine chose."""
    moved, followed = [], []

    async def redirect(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        moved.append(writer)
        place = b"Location: http://127.0.0.1:%d/x\r\n" % other
        head = b"HTTP/1.1 %d Moved\r\nContent-Length: 0\r\n%s\r\n"
        writer.write(head % (status, place))

    async def follow(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        followed.append(writer)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(COMPLETION)
        writer.write(head + COMPLETION)

    async with (
        serving(follow) as other,
        serving(redirect) as port,
        aiohttp.ClientSession(response_class=EndpointResponse) as session,
    ):
        endpoint = EndpointView("e", f"http://127.0.0.1:{port}", "a", "r")
        with pytest.raises(EndpointError):
            await send(endpoint, session)
    assert moved and not followed


UNCLEAN = {
    # bytes of the request's body that the endpoint doesn't read, how it ends
    "reset": ({}, "reset"),
    "reset in the upload": ({"body": UPLOAD_BYTES * b"x"}, "reset"),
    "close in the upload": ({"body": UPLOAD_BYTES * b"x"}, "close"),
    "half a close in the upload": ({"body": UPLOAD_BYTES * b"x"}, "half-close"),
    "both in the upload": ({"body": UPLOAD_BYTES * b"x"}, "half-close, reset"),
}


@pytest.mark.parametrize("send", [call_plain, call_once])
@pytest.mark.parametrize("fields,ending", UNCLEAN.values(), ids=UNCLEAN)
async def test_an_answer_without_length_needs_a_clean_end_to_be_whole(
    fields, ending, send
):
    """A part of it was passed on as whole."""
    with pytest.raises(EndpointError):
        await answered(send, b"HTTP/1.1 200 OK\r\n\r\na part", ending, **fields)


@pytest.mark.parametrize("send", [call_plain, call_once])
@pytest.mark.parametrize("ending", ["close", "half-close"])
async def test_an_answer_without_length_is_whole_after_a_clean_end(ending, send):
    assert await answered(send, b"HTTP/1.1 200 OK\r\n\r\nall", ending) == b"all"
