"""HTTP/1.1 server that reads complete requests and is strict about framing."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable

from loguru import logger

from knapweedhinge.core.detached import log_failure
from knapweedhinge.http1.account import Account
from knapweedhinge.http1.connection import Connection
from knapweedhinge.http1.exchange import Exchange
from knapweedhinge.http1.limits import Limits

BACKLOG = 1024  # connections that the kernel queues until they are accepted
# Connections accepted before others are looked at, so that those beyond the limit are
# closed before many more have taken a descriptor.
ACCEPTED_AT_ONCE = 16
SWEEP_INTERVAL_S = 0.5  # how often idle and slow connections are closed
# Time that a new connection has for its first request once the listener is closed. Its
# client may have connected just before and sends the request at once.
LINGER_S = 0.25


Handler = Callable[[Exchange], Awaitable[None]]


class Server:
    """Server that listens at one address and passes each request to ``handle``.

    The handler is cancelled when the client disconnects. ``limits`` is called for each
    use, so that limits may change. ``on_refused`` is called with the status of each
    request that is malformed or breaks a limit. ``account`` counts what is held for
    clients; servers of one process share it, by default each has its own.

    ``draining`` says that responses end keep-alive, ``closed`` that the listener is
    closed and new requests are refused.
    """

    def __init__(
        self,
        handle: Handler,
        limits: Callable[[], Limits],
        *,
        clock: Callable[[], float] = time.monotonic,
        on_refused: Callable[[int], None] = lambda status: None,
        account: Account | None = None,
    ):
        self.handle = handle
        self.limits = limits
        self.clock = clock
        self.on_refused = on_refused
        self.connections: set[Connection] = set()
        self.account = account or Account(limits)
        self.draining = False
        self.closed = False
        self.port = 0
        self._server: asyncio.Server | None = None
        self._listener: socket.socket | None = None
        self._accepting: set[asyncio.Task] = set()
        self._sweeper: asyncio.Task | None = None

    @property
    def held_bytes(self) -> int:
        """Return the bytes of the bodies of all requests that are not answered yet."""
        return sum(connection.body_bytes for connection in self.connections)

    @property
    def busy_connections(self) -> int:
        """Return the number of connections with a request being read or answered."""
        return sum(not connection.is_idle for connection in self.connections)

    async def start(self, ip: str, port: int) -> None:
        """Start to listen; with port 0, ``port`` is the one the kernel chose."""
        loop = asyncio.get_running_loop()
        self._listener = socket.create_server((ip, port), backlog=BACKLOG)
        self._listener.setblocking(False)
        self._server = await loop.create_server(
            lambda: Connection(self), sock=self._listener, backlog=ACCEPTED_AT_ONCE
        )
        self._listener.listen(BACKLOG)  # asyncio has set the queue to its own number
        self.port = self._listener.getsockname()[1]
        self._sweeper = asyncio.create_task(self._sweep())

    def drain(self) -> None:
        """End keep-alive: each response from now on closes its connection."""
        self.draining = True

    def close_listener(self) -> None:
        """Accept no new connections and close those that were idle for ``LINGER_S``.

        Call it again to close the others, until there are no ``connections``. A request
        that still arrives on an open connection gets status 503.
        """
        self.closed = True
        if self._server is not None:
            self._accept_queued()
            self._server.close()
            self._server = None
        idle_since = self.clock() - LINGER_S
        for connection in tuple(self.connections):
            connection.close_if_idle(idle_since)

    def _accept_queued(self) -> None:
        """Accept what the kernel has queued; closing the listener would reset it."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                logger.info(f"a queued connection was not accepted: {exc!r}")
                return
            sock.setblocking(False)
            task = loop.create_task(
                loop.connect_accepted_socket(lambda: Connection(self), sock)
            )
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)
            task.add_done_callback(log_failure)

    async def stop(self) -> None:
        """Close all connections, which aborts the requests in progress."""
        self.close_listener()
        await asyncio.gather(*self._accepting, return_exceptions=True)
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in tuple(self.connections):
            connection.abort()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now, limits = self.clock(), self.limits()
            for connection in tuple(self.connections):
                connection.expire(now, limits)
