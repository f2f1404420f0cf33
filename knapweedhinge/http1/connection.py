"""Server side of a client's connection, strict about framing."""

import asyncio
import socket
import struct
from collections import deque
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools
from loguru import logger

from knapweedhinge.core.detached import log_failure
from knapweedhinge.http1.exchange import REASON_PHRASES, Exchange

if TYPE_CHECKING:
    from knapweedhinge.http1.server import Server

MAX_PIPELINED = 16  # requests that may wait behind the one being answered
WRITE_BUFFER_BYTES = 128 * 1024  # beyond this, a slow client pauses its stream
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: closing sends a reset
# In seconds; short, since other nodes accept the refused request at once.
RETRY_ELSEWHERE = ((b"Retry-After", b"0.1"),)


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of each request and of all clients together; times in seconds.

    ``header_timeout_s`` runs from the first byte of a request to the end of its
    headers. ``idle_timeout_s`` is the longest time in which no data arrives, between
    requests or in the body of one. ``max_header_bytes`` includes the request target.
    ``max_connections`` and ``max_held_bytes`` apply to all clients. The latter bounds
    the bodies of all requests that are not answered yet.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    max_connections: int = 4096
    max_held_bytes: int = 64 * 1024 * 1024


class _BadRequestError(Exception):
    """A request breaks a limit; ``status`` is that of the response."""

    def __init__(self, status: int):
        self.status = status
        super().__init__(status)


class Connection(asyncio.Protocol):
    """A client's connection; pipelined requests are answered in order of arrival.

    ``active_at`` is when data last arrived or a response last ended,
    ``request_began_at`` when the request that is being read began, None without one;
    both are in seconds on the server's clock. ``held_bytes`` counts the bodies of the
    requests that are not answered yet.
    """

    def __init__(self, server: "Server"):
        self.server = server
        self.disconnected = False
        self.method = ""
        self.target = bytearray()
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.http_version = "1.1"
        self.keep_alive = True
        self.active_at = 0.0
        self.request_began_at: float | None = None
        self.reading_head = False
        self.held_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self._body_bytes = 0
        self._waiting: deque[Exchange] = deque()
        self._current: Exchange | None = None
        self._task: asyncio.Task | None = None
        self._error_status: int | None = None
        self._can_write: asyncio.Future | None = None
        self._paused = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return self._current is None and self.request_began_at is None

    @property
    def is_answering(self) -> bool:
        """Return whether a complete request is being answered."""
        return self._current is not None

    @property
    def reading_bytes(self) -> int:
        """Return the bytes received of an incomplete request body."""
        return 0 if self.request_began_at is None else self._body_bytes

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection, closing others if there are too many.

        Pieces of answers are sent at once: asyncio sees to that only for sockets that
        were created with a protocol number.
        """
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.active_at = self.server.clock()
        self.server.connections.add(self)
        self.server.evict_excess()

    def data_received(self, data: bytes) -> None:
        """Parse received data; ignore it after a request was refused."""
        self.active_at = self.server.clock()
        if self._error_status is not None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as exc:
            status = getattr(exc.__context__, "status", None)
            if status is None:
                logger.opt(exception=exc).error("request parser failed")
            self._refuse(status or HTTPStatus.INTERNAL_SERVER_ERROR)
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(HTTPStatus.BAD_REQUEST)
            return
        if self.reading_head:
            # The parser's callbacks count only complete headers, so count all received
            # bytes too. Complete headers are then counted twice, hence the factor.
            self._head_bytes += len(data)
            if self._head_bytes > 2 * self.server.limits().max_header_bytes:
                self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def eof_received(self) -> bool:
        """Cancel the client's requests: it closed its side and awaits no response."""
        self._client_disconnected()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of the disconnected client."""
        self._client_disconnected()
        self.server.connections.discard(self)

    def pause_writing(self) -> None:
        """Make :meth:`wait_writable` wait."""
        self._can_write = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let :meth:`wait_writable` return."""
        self._resume_writer()

    def on_message_begin(self) -> None:
        """Reset the state for the next request."""
        self.target = bytearray()
        self.headers = []
        self.chunks = []
        self._head_bytes = 0
        self._body_bytes = 0
        self.reading_head = True
        self.request_began_at = self.active_at

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may arrive in parts."""
        self.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._count_head(len(name) + len(value) + 4)  # with ": " and CRLF
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Store the request line; send 100 Continue if the client expects it."""
        self.reading_head = False
        self.method = self._parser.get_method().decode()
        self.http_version = self._parser.get_http_version()
        self.keep_alive = self._parser.should_keep_alive()
        expects_continue = any(
            name.lower() == b"expect" and value.lower() == b"100-continue"
            for name, value in self.headers
        )
        if expects_continue and self._current is None:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body.

        If the bodies of all clients take too much memory, refuse the largest incomplete
        one.
        """
        self._body_bytes += len(data)
        self._count_held_bytes(len(data))
        if self._body_bytes > self.server.limits().max_body_bytes:
            raise _BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self.chunks.append(bytes(data))
        if self.server.held_bytes > self.server.limits().max_held_bytes:
            largest = self.server.largest_upload()
            if largest is self:
                raise _BadRequestError(HTTPStatus.SERVICE_UNAVAILABLE)
            largest.evict(HTTPStatus.SERVICE_UNAVAILABLE)

    def on_message_complete(self) -> None:
        """Handle the request, or queue it behind the one being answered."""
        self.request_began_at = None
        exchange = Exchange(self, self.server.clock())
        self.chunks = []
        if self._current is None:
            self._start_handling(exchange)
            return
        self._waiting.append(exchange)
        if len(self._waiting) >= MAX_PIPELINED and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def write(self, data: bytes) -> None:
        """Write to the client unless it has disconnected."""
        if not self.disconnected:
            self._transport.write(data)

    async def wait_writable(self) -> None:
        """Wait until the write buffer has room again."""
        if self._can_write is not None:
            await self._can_write

    def on_answered(self, exchange: Exchange) -> None:
        """Continue with the next request, or close the connection."""
        self.active_at = self.server.clock()
        if exchange is not self._current:
            return
        self._current = None
        if not self.disconnected:
            self._count_held_bytes(-len(exchange.body))
        if not exchange.keep_alive:
            self._close()
        elif self._waiting:
            self._start_handling(self._waiting.popleft())
            if self._paused:
                self._paused = False
                self._transport.resume_reading()
        elif self._error_status is not None:
            self._write_error()

    def abort(self) -> None:
        """Reset the connection, so that no response on it can look complete."""
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self._transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    def evict(self, status: int) -> None:
        """Make room for others: close if idle, else refuse the request being read."""
        if self.is_idle:
            self._close()
        else:
            self._refuse(status)

    def close_if_idle(self, idle_since: float) -> None:
        """Close the connection if it is idle and received nothing since that time."""
        if self.is_idle and not self.disconnected and self.active_at <= idle_since:
            self._close()

    def expire(self, now: float, limits: Limits) -> None:
        """Close a connection that has been idle or reading a request for too long."""
        if self._current is not None:
            return
        if self.request_began_at is None:
            if now - self.active_at > limits.idle_timeout_s:
                self._close()
        elif self.reading_head:
            if now - self.request_began_at > limits.header_timeout_s:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif now - self.active_at > limits.idle_timeout_s:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def _start_handling(self, exchange: Exchange) -> None:
        self._current = exchange
        if self.server.closed:
            exchange.keep_alive = False
            exchange.respond(HTTPStatus.SERVICE_UNAVAILABLE, RETRY_ELSEWHERE)
            return
        self._task = asyncio.ensure_future(self.server.handle(exchange))
        self._task.add_done_callback(self._on_handled)

    def _on_handled(self, task: asyncio.Task) -> None:
        """Reset the connection if the handler ended without a complete response."""
        log_failure(task)
        exchange = self._current
        if task is self._task and exchange is not None and not exchange.answered:
            self.abort()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.server.limits().max_header_bytes:
            raise _BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _refuse(self, status: int) -> None:
        """Read nothing more; send the error after the responses to earlier requests."""
        self._error_status = status
        self._count_held_bytes(-self.reading_bytes)
        self.chunks = []
        self._body_bytes = 0
        self.server.on_refused(status)
        if self._current is None:
            self._write_error()

    def _write_error(self) -> None:
        head = b"HTTP/1.1 %d %s\r\n" % (
            self._error_status,
            REASON_PHRASES[self._error_status],
        )
        if self._error_status == HTTPStatus.SERVICE_UNAVAILABLE:
            head += b"%s: %s\r\n" % RETRY_ELSEWHERE[0]
        self.write(head + b"Content-Length: 0\r\nConnection: close\r\n\r\n")
        self._close()

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _count_held_bytes(self, size: int) -> None:
        self.held_bytes += size
        self.server.held_bytes += size

    def _client_disconnected(self) -> None:
        self.disconnected = True
        self._count_held_bytes(-self.held_bytes)
        self._waiting.clear()
        self._resume_writer()
        current = self._current
        if self._task is not None and current is not None and not current.answered:
            self._task.cancel()

    def _resume_writer(self) -> None:
        if self._can_write is not None and not self._can_write.done():
            self._can_write.set_result(None)
        self._can_write = None
