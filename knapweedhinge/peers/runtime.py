"""Attachment of the RPC library to asyncio, shared by all nodes of a process.

pycapnp drives its connections from the running asyncio loop once
``capnp.kj_loop()`` is entered, so the RPC server, its clients and an aiohttp
server live in one loop and one thread. pycapnp allows a single entry per thread;
``rpc_loop()`` counts its users so that several nodes of one process can start and
stop independently. ``Peers.start()`` enters it and ``Peers.stop()`` leaves it: a
daemon runs ``asyncio.run(main())`` as usual and needs nothing else.

When the last user leaves, every open RPC connection of the thread is closed.
"""

import threading
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import capnp

_local = threading.local()


@asynccontextmanager
async def rpc_loop() -> AsyncIterator[None]:
    """Keep pycapnp attached to the running asyncio loop while the block runs."""
    await _enter()
    try:
        yield
    finally:
        await _leave()


async def _enter() -> None:
    users = getattr(_local, "users", 0)
    if users == 0:
        _local.loop = capnp.kj_loop()
        await _local.loop.__aenter__()
    _local.users = users + 1


async def _leave() -> None:
    _local.users -= 1
    if _local.users == 0:
        loop, _local.loop = _local.loop, None
        await loop.__aexit__(None, None, None)
