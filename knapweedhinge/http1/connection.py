"""Server side of a client's connection, strict about framing."""

import asyncio
import math
import socket
import struct
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING

from knapweedhinge.core.detached import log_failure
from knapweedhinge.http1.account import Holding
from knapweedhinge.http1.exchange import REASON_PHRASES, Exchange
from knapweedhinge.http1.limits import Limits
from knapweedhinge.http1.reader import BadRequestError, RequestReader

if TYPE_CHECKING:
    from knapweedhinge.http1.server import Server

# Requests that may wait behind the one being answered; those that follow in the same
# piece of data are added.
MAX_PIPELINED = 16
# Bytes that are parsed at once, between requests and in a head. A piece that holds many
# small requests makes objects of many times its size.
HEAD_PIECE_BYTES = 2 * 1024
BODY_PIECE_BYTES = 16 * 1024  # the same in a body
WRITE_BUFFER_BYTES = 128 * 1024  # beyond this, a slow client pauses its stream
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: closing sends a reset
# In seconds; short, since other nodes accept the refused request at once.
RETRY_ELSEWHERE = ((b"Retry-After", b"0.1"),)
CONNECTION_BYTES = 4 * 1024  # estimate of a connection with its parser and buffers
# What the endpoint may have sent meanwhile if an answer waits for its reader.
PAUSED_ANSWER_BYTES = 256 * 1024
# Time in which the rest of a refused body is read and dropped. Closing at once would
# reset the connection, and the client might not see why.
LINGER_S = 1.0
MOVED_BYTES = 4 * 1024  # least that a client sends for it to count as moving


class Connection(asyncio.Protocol):
    """A client's connection; pipelined requests are answered in order of arrival.

    ``active_at`` is when data last arrived or a response last ended,
    ``request_began_at`` when the last request began, and ``moved_at`` when the client
    last sent or read a fair amount, all in seconds on the server's clock. ``charged``
    is what the account counts for the connection, in bytes.
    """

    def __init__(self, server: "Server"):
        self.server = server
        self.disconnected = False
        self.active_at = 0.0
        self.request_began_at = 0.0
        self.moved_at = 0.0
        self.charged = 0
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(
            server.limits, self._send_continue, self._on_request
        )
        self._waiting: deque[Exchange] = deque()
        self._current: Exchange | None = None
        self._task: asyncio.Task | None = None
        self._error_status: int | None = None
        self._can_write: asyncio.Future | None = None
        self._paused = False
        self._unparsed = b""  # received, but too many requests wait already
        self._ahead_bytes = 0  # memory of the requests in ``_waiting``
        self._unread_bytes = 0  # of answers, when last looked at
        self._linger_ends_at: float | None = None  # of a refused request
        self._dropped_bytes = 0
        self._received_bytes = 0  # since the client last counted as moving

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read, waiting or answered."""
        waiting = self._waiting or self._unparsed
        return not self.is_answering and not self._reader.reading and not waiting

    @property
    def is_closed(self) -> bool:
        """Return whether the connection is closed or was reset.

        One that only waits for its client to read the last answer isn't.
        """
        if self._transport is None:
            return True
        unread = self._transport.get_write_buffer_size()
        return self._transport.is_closing() and not unread

    @property
    def silent_since(self) -> float:
        """Return when data last arrived that was of use, in seconds."""
        return self.active_at if self._linger_ends_at is None else -math.inf

    @property
    def is_answering(self) -> bool:
        """Return whether a complete request is being answered."""
        return self._current is not None

    @property
    def has_waiting(self) -> bool:
        """Return whether complete requests wait behind the one being answered."""
        return bool(self._waiting)

    @property
    def body_bytes(self) -> int:
        """Return the bytes of the bodies of requests that are not answered yet."""
        current = () if self._current is None else (self._current,)
        whole = sum(len(exchange.body) for exchange in (*current, *self._waiting))
        return len(self._reader.body) + whole

    def held_by_kind(self) -> dict[str, int]:
        """Return what is held for the client in bytes, by kind."""
        return {
            "heads": CONNECTION_BYTES + self._reader.head_bytes,
            "bodies": len(self._reader.body),
            "answering": self._answering_bytes(),
            "ahead": self._ahead_bytes + len(self._unparsed),
            "unread": self._unread_bytes,
        }

    def recount(self, now: float) -> int:
        """Count anew what is held for the client; return how much more it is."""
        unread = self._transport.get_write_buffer_size() if self._transport else 0
        if unread and (unread < self._unread_bytes or not self._unread_bytes):
            self.moved_at = now
        self._unread_bytes = unread
        held = (
            CONNECTION_BYTES
            + self._reader.head_bytes
            + len(self._reader.body)
            + self._answering_bytes()
            + self._ahead_bytes
            + len(self._unparsed)
            + unread
        )
        added, self.charged = held - self.charged, held
        return added

    def holding(self) -> Holding:
        """Return what closing the connection, or refusing what is read, would free.

        A request that is being answered stays, unless its client reads too little.
        """
        size = self.charged - CONNECTION_BYTES
        if not self._unread_bytes:
            size -= self._answering_bytes()
        return Holding(size, self.moved_at)

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
        self.active_at = self.moved_at = self.server.clock()
        self.server.connections.add(self)
        self.server.account.add(self, self.active_at)

    def data_received(self, data: bytes) -> None:
        """Parse received data; ignore it after a request was refused."""
        now = self.active_at = self.server.clock()
        if self._error_status is not None:
            self._drop(len(data))
            return
        self._received_bytes += len(data)
        if self._received_bytes >= MOVED_BYTES and not self._unread_bytes:
            self._received_bytes, self.moved_at = 0, now
        if self._unparsed:
            self._unparsed += data
        else:
            self._parse(data)
        self._recount(now)

    def _parse(self, data: bytes) -> None:
        """Parse data in pieces; keep the rest while too many requests wait."""
        at = 0
        while at < len(data) and self._error_status is None:
            if len(self._waiting) >= MAX_PIPELINED:
                self._unparsed = data[at:]
                self._pause_reading()
                return
            in_body, begun = self._reader.reading_body, self._reader.begun
            size = BODY_PIECE_BYTES if in_body else HEAD_PIECE_BYTES
            try:
                self._reader.feed(data[at : at + size])
            except BadRequestError as exc:
                self._refuse(exc.status)
                return
            if self._reader.begun != begun:
                self.request_began_at = self.active_at
            at += size
        self._unparsed = b""

    def eof_received(self) -> bool:
        """Cancel the client's requests: it closed its side and awaits no response."""
        self._client_disconnected()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of the disconnected client."""
        self._client_disconnected()
        self._transport = None
        self.server.connections.discard(self)
        self.server.account.remove(self)

    def pause_writing(self) -> None:
        """Make :meth:`wait_writable` wait."""
        self._can_write = asyncio.get_running_loop().create_future()
        self._recount(self.server.clock())

    def resume_writing(self) -> None:
        """Let :meth:`wait_writable` return, and answer the requests that wait."""
        self._resume_writer()
        if self._current is None and not self.disconnected:
            self._answer_next()
        self._recount(self.server.clock())

    def _send_continue(self) -> None:
        """Send 100 Continue unless an answer is being written."""
        if self._current is None:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _on_request(self) -> None:
        """Handle a request, or queue it behind the one being answered.

        Refuse it if there is no room for the copy that is sent to an endpoint.
        """
        if self._transport is None or self._transport.is_closing():
            return
        size = self._reader.request_bytes
        if not self.server.account.has_room(size):
            raise BadRequestError(HTTPStatus.SERVICE_UNAVAILABLE)
        exchange = Exchange(self, self._reader, self.server.clock(), size)
        if self._current is None and not self._waiting and self._can_write is None:
            self._start_handling(exchange)
            return
        self._waiting.append(exchange)
        self._ahead_bytes += size
        if len(self._waiting) >= MAX_PIPELINED:
            self._pause_reading()

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
        now = self.active_at = self.server.clock()
        if exchange is not self._current:
            return
        self._current = None
        if not exchange.keep_alive:
            self._close()
        elif self._transport is not None:
            self._answer_next()
        self._recount(now)

    def _answer_next(self) -> None:
        """Go on with what has arrived, unless the client has answers to read first."""
        if self._can_write is not None or self._transport.is_closing():
            return
        if self._waiting:
            exchange = self._waiting.popleft()
            self._ahead_bytes -= exchange.size
            self._start_handling(exchange)
        if self._unparsed:
            self._parse(self._unparsed)
        if self._paused and len(self._waiting) < MAX_PIPELINED:
            self._paused = False
            self._transport.resume_reading()
        if self._error_status is not None and self._current is None:
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
        """Make room for others: close if idle, else refuse what is not handled yet.

        A client that has not read its answers is reset; closing would wait for it.
        """
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size():
            self.abort()
            self._client_disconnected()
        elif self.is_idle or self._linger_ends_at is not None:
            self._close()
        else:
            self._waiting.clear()
            self._ahead_bytes = 0
            if self._error_status is None:
                self._refuse(status)
        if self._transport.is_closing():
            self.server.connections.discard(self)
        self._recount(self.server.clock())

    def close_if_idle(self, idle_since: float) -> None:
        """Close the connection if it is idle and received nothing since that time."""
        if self.is_idle and not self.disconnected and self.active_at <= idle_since:
            self._close()

    def expire(self, now: float, limits: Limits) -> None:
        """Close a connection that was idle or not read, or is slow with a request."""
        self._recount(now)
        if self._unread_bytes and now - self.moved_at > limits.unread_timeout_s:
            self.abort()
            return
        if self._linger_ends_at is not None:
            if now >= self._linger_ends_at:
                self._close()
            return
        if self._current is not None:
            return
        if not self._reader.reading:
            if now - max(self.active_at, self.moved_at) > limits.idle_timeout_s:
                self._close()
        elif self._reader.reading_head:
            if now - self.request_began_at > limits.header_timeout_s:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif now - self.active_at > limits.idle_timeout_s:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def _start_handling(self, exchange: Exchange) -> None:
        self._current = exchange
        if self.server.closed:
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

    def _refuse(self, status: int) -> None:
        """Read nothing more; send the error after the responses to earlier requests."""
        self._error_status = status
        self._reader.drop()
        self._unparsed = b""
        self.server.on_refused(status)
        if self._current is None and not self._waiting:
            self._write_error()

    def _write_error(self) -> None:
        """Write the error response and close, once; drop the rest of a body first."""
        if self._transport.is_closing() or self._linger_ends_at is not None:
            return
        head = b"HTTP/1.1 %d %s\r\n" % (
            self._error_status,
            REASON_PHRASES[self._error_status],
        )
        if self._error_status == HTTPStatus.SERVICE_UNAVAILABLE:
            head += b"%s: %s\r\n" % RETRY_ELSEWHERE[0]
        self.write(head + b"Content-Length: 0\r\nConnection: close\r\n\r\n")
        if (
            self._reader.reading_body
            and self._error_status != HTTPStatus.REQUEST_TIMEOUT
        ):
            self._transport.write_eof()
            self._linger_ends_at = self.server.clock() + LINGER_S
        else:
            self._close()

    def _drop(self, size: int) -> None:
        """Count received bytes that nobody wants; close if there are too many."""
        self._dropped_bytes += size
        max_bytes = self.server.limits().max_body_bytes
        if self._dropped_bytes > max_bytes and not self.is_answering:
            self._close()

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _pause_reading(self) -> None:
        if not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def _answering_bytes(self) -> int:
        """Return the memory of the request being answered, and of its copy on the way.

        An answer that waits for its reader keeps what its endpoint sent meanwhile.
        """
        if self._current is None:
            return 0
        paused = PAUSED_ANSWER_BYTES if self._can_write is not None else 0
        return 2 * self._current.size + paused

    def _recount(self, now: float) -> None:
        self.server.account.recount(self, now)

    def _client_disconnected(self) -> None:
        self.disconnected = True
        self._waiting.clear()
        self._ahead_bytes = 0
        self._reader.drop()
        self._unparsed = b""
        self._resume_writer()
        current = self._current
        if self._task is not None and current is not None and not current.answered:
            self._task.cancel()

    def _resume_writer(self) -> None:
        if self._can_write is not None and not self._can_write.done():
            self._can_write.set_result(None)
        self._can_write = None
