"""Bodies that never end, at the clients of engines, plain services and platform."""

import asyncio
import random
import time
from contextlib import asynccontextmanager

import aiohttp
import pytest

from knapweedhinge.conf.node import EndpointSettings
from knapweedhinge.core.codes import RunState
from knapweedhinge.core.exceptions import KnapweedhingeError
from knapweedhinge.endpoints import EndpointResponse
from knapweedhinge.endpoints.engine import EngineClient
from knapweedhinge.endpoints.plain import PlainClient
from knapweedhinge.endpoints.types import EngineCall, PlainCall
from knapweedhinge.platform.store import Store
from knapweedhinge.routing.load import EndpointView

PIECE = b"x" * 64 * 1024
MUCH_BYTES = 128 * 1024 * 1024  # what the server sends if nobody closes before


@asynccontextmanager
async def endless_server():
    """Answer each request with a body without end; yield the port and bytes sent."""
    sent = []

    async def serve(reader, writer):
        sent.append(0)
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            while sent[-1] < MUCH_BYTES:
                writer.write(PIECE)
                await writer.drain()
                sent[-1] += len(PIECE)
        except ConnectionError:
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        yield server.sockets[0].getsockname()[1], sent


async def complete(port, session):
    endpoint = EndpointView("e", f"http://127.0.0.1:{port}", "a", "r")
    client = EngineClient(EndpointSettings(), session)
    await client.complete(endpoint, EngineCall("1", "v", b"{}", 5, 20.0))


async def call_plain(port, session):
    endpoint = EndpointView("e", f"http://127.0.0.1:{port}", "a", "r")
    client = PlainClient(EndpointSettings(), session, session)
    call = PlainCall("1", "GET", "x", "", "", b"", 20.0)
    await client.call(endpoint, call, idempotent=False)


async def read_store(port, session):
    await Store("127.0.0.1", port, time.monotonic, random.Random(1)).read("op")


@pytest.mark.parametrize("send", [complete, call_plain, read_store])
async def test_an_endless_body_is_an_error_of_unknown_outcome(send):
    async with (
        endless_server() as (port, sent),
        aiohttp.ClientSession(response_class=EndpointResponse) as session,
        asyncio.timeout(15),
    ):
        with pytest.raises(KnapweedhingeError) as failure:
            await send(port, session)
        assert failure.value.run_state is not RunState.NOT_RUN
        assert all(count < MUCH_BYTES / 2 for count in sent)
