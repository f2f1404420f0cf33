"""A server for HTTP/1.1 that reads whole requests and is strict about framing."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from loguru import logger

from knapweedhinge.http1.connection import Connection, Limits
from knapweedhinge.http1.exchange import Exchange

BACKLOG = 1024  # connections the kernel keeps until they are accepted
SWEEP_S = 0.5  # how often idle and slow connections are looked for
# Part of the connections allowed that are closed at once when there are too many, so
# that a flood costs one look at all of them for each of these.
EVICTED = 0.05


Handler = Callable[[Exchange], Awaitable[None]]


class Server:
    """Listen at one address and hand each request to ``handle``.

    A handler is cancelled when its client leaves. ``limits`` is asked anew for each
    request, ``on_fault`` told the status of each request refused for its form.
    """

    def __init__(
        self,
        handle: Handler,
        limits: Callable[[], Limits],
        *,
        clock: Callable[[], float] = time.monotonic,
        on_fault: Callable[[int], None] = lambda status: None,
    ):
        self.handle = handle
        self.limits = limits
        self.clock = clock
        self.on_fault = on_fault
        self.connections: set[Connection] = set()
        self.held_bytes = 0
        self.draining = False
        self.closed = False
        self.port = 0
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task | None = None

    @property
    def busy(self) -> int:
        """Return how many connections have a request being read or answered."""
        return sum(not one.is_idle for one in self.connections)

    def make_room(self) -> None:
        """Close connections if there are too many: those that were silent longest.

        A request that is whole is always answered; where there are only those, the
        newest connection goes.
        """
        most = self.limits().max_connections
        if len(self.connections) <= most:
            return
        count = len(self.connections)
        waiting = [one for one in self.connections if not one.is_answering]
        waiting.sort(key=lambda one: one.active_at)
        leaving = waiting[: max(1, int(EVICTED * most))]
        for one in leaving:
            self.connections.discard(one)
            one.give_way(HTTPStatus.REQUEST_TIMEOUT)
        if not leaving:
            max(self.connections, key=lambda one: one.active_at).abort()
        logger.bind(connections=count, closed=max(1, len(leaving))).warning(
            "too many connections"
        )

    def largest_reader(self) -> Connection:
        """Return the connection with the largest body that is still read."""
        largest = max(self.connections, key=lambda one: one.reading_bytes)
        logger.bind(held_bytes=self.held_bytes, largest=largest.reading_bytes).warning(
            "bodies hold too much memory"
        )
        return largest

    async def start(self, ip: str, port: int) -> None:
        """Begin to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self), ip, port, backlog=BACKLOG, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._sweeper = asyncio.create_task(self._sweep())

    def drain(self) -> None:
        """Ask clients to leave: each answer from now on ends its connection."""
        self.draining = True

    def close_listener(self) -> None:
        """Take no new connections, and close those that are idle.

        A request that still comes on an open connection is refused.
        """
        self.closed = True
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.close_idle()

    async def stop(self) -> None:
        """Close everything; requests that are still being answered break off."""
        self.close_listener()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in tuple(self.connections):
            connection.abort()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            now, limits = self.clock(), self.limits()
            for connection in tuple(self.connections):
                connection.expire(now, limits)
