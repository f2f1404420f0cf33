"""Client side of an HTTP connection, which carries one request at a time."""

import asyncio
import fcntl
import re
import socket
import struct
import termios
from collections.abc import Callable
from dataclasses import dataclass

import httptools
from loguru import logger

from knapweedhinge.http1.errors import (
    AnswerBrokenError,
    AnswerTimeoutError,
    TransportError,
)

# Unread bytes of a response body above which reading from the socket pauses; enough for
# a few hundred events.
MAX_BUFFERED_BYTES = 256 * 1024
MAX_HEADER_BYTES = 64 * 1024  # known servers send less than a tenth of it
# Bytes that may arrive beside those of the body: the head, then chunk sizes, extensions
# and trailers. Each byte of the body pays for some, so that chunks of three bytes or
# more are never too many, but a server can't keep the parser busy with single bytes.
MAX_FRAMING_BYTES = MAX_HEADER_BYTES
FRAMING_PER_BODY_BYTE = 2
# Read from a socket at once. Parsing that much takes 3 ms at worst, after which the
# other connections have their turn.
RECEIVE_BYTES = 16 * 1024
# Shared by all connections: the event loop parses what it reads before it reads more.
_receive_buffer = bytearray(RECEIVE_BYTES)
MAX_SKIPPED_BYTES = 1024 * 1024  # of responses to other requests
HTTP_VERSIONS = ("1.0", "1.1")
PROTOCOL = b"HTTP/"  # the parser accepts responses of other protocols as well
MIN_STATUS, MAX_STATUS = 100, 599
SWITCHING_PROTOCOLS = 101  # never asked for
CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
QUEUE_SIZE = struct.Struct("i")  # of a socket's send queue
# TCP timeouts, so that the kernel ends a connection to a vanished peer after about 3 s.
USER_TIMEOUT_MS = 3_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

Headers = tuple[tuple[bytes, bytes], ...]
ResponseMatcher = Callable[[Headers], bool]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names have the case as received."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` must be in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


def enable_keepalive(sock: socket.socket) -> None:
    """Make the kernel end the connection if the peer no longer answers."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many bytes written to a TCP socket its peer hasn't acknowledged.

    0 where the system doesn't tell.
    """
    try:
        found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(QUEUE_SIZE.size))
    except OSError as exc:
        logger.debug(f"no size of the send queue: {exc!r}")
        return 0
    return QUEUE_SIZE.unpack(found)[0]


class Channel(asyncio.BufferedProtocol):
    """A connection; :meth:`send` a request, then await :meth:`head` and :meth:`read`.

    The framing determines the end of a response. A response without length is complete
    when the server closes the connection, and broken when the connection is reset.

    ``reusable`` becomes False when the server will close the connection after the
    response. ``keep_alive_s`` is the server's timeout for an idle connection, None if
    it names none. The pool sets ``idle_since``, in seconds on its clock. ``requests``
    counts the requests sent.
    """

    def __init__(self, on_closed: Callable[["Channel"], None]):
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._is_expected: ResponseMatcher | None = None
        self._busy = False
        self._timer: asyncio.TimerHandle | None = None
        self._waiter: asyncio.Future | None = None
        self._error: TransportError | None = None
        self._chunks: list[bytes] = []
        self._buffered = 0
        self._paused = False
        self._head: ResponseHead | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._framing_bytes = 0
        self._skipped_bytes = 0
        self._skipping_other = False
        self._interim = False
        self._complete = False
        self._until_close = False
        self._head_only = False
        # First bytes of the first response to a request, without CRLF before it.
        self._protocol = b""
        self._unexpected_data = False  # not part of the awaited response
        self.reusable = True
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self.requests = 0

    # Methods for the user of the connection.

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed or closing."""
        return self._transport is None or self._transport.is_closing()

    @property
    def complete(self) -> bool:
        """Return whether the current response has arrived completely."""
        return self._complete

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection ends the current response."""
        return self._until_close

    @property
    def has_head(self) -> bool:
        """Return whether the head of the current response has arrived."""
        return self._head is not None

    def send(
        self, data: bytes, is_expected: ResponseMatcher, *, head_only: bool = False
    ) -> None:
        """Write a request.

        ``is_expected`` returns whether response headers belong to this request; other
        responses are skipped. ``head_only`` means that the response has no body.
        """
        self._is_expected = is_expected
        self._busy = True
        self._protocol = b""
        self._head_only = head_only
        self._head = None
        self._complete = False
        self._until_close = False
        self._error = None
        self._chunks.clear()
        self._buffered = 0
        self._framing_bytes = 0
        self._skipped_bytes = 0
        self.requests += 1
        self._transport.write(data)

    def set_deadline(self, when: float) -> None:
        """Set the deadline of the response, in seconds on the loop's clock.

        A response that is not complete by then fails with AnswerTimeoutError, and the
        connection is closed.
        """
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_at(when, self._time_out)

    async def head(self) -> ResponseHead:
        """Wait for the head of the response; raise TransportError if it fails."""
        while self._head is None:
            if self._error is not None:
                raise self._error
            await self._wait()
        return self._head

    async def arrives_by(self, when: float, *, head: bool = False) -> bool:
        """Return whether body bytes arrive by ``when``, on the loop's clock.

        With ``head``, wait for the head of the response instead. Also return True if
        the response ended or failed; reading it tells which.
        """
        loop = asyncio.get_running_loop()
        if not self._has_arrived(head) and loop.time() >= when:
            await asyncio.sleep(0)  # bytes received meanwhile are not processed yet
        while not self._has_arrived(head):
            if loop.time() >= when:
                return False
            handle = loop.call_at(when, self._wake)
            try:
                await self._wait()
            finally:
                handle.cancel()
        return True

    async def read(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        Raise TransportError if the response fails, after returning the bytes received
        before.
        """
        while not self._chunks:
            if self._complete:
                return b""
            if self._error is not None:
                raise self._error
            await self._wait()
        data = self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)
        self._chunks.clear()
        self._buffered = 0
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        return data

    def finish(self) -> bool:
        """End the current request; return whether the connection can be reused.

        Close it otherwise. That also stops the server's work on a response that is not
        complete.
        """
        self._stop_timer()
        usable = self._complete and self.reusable and not self._unexpected_data
        usable = usable and not self._until_close and not self.closed
        self._busy = False
        self._is_expected = None
        if not usable:
            self.close()
        elif self._paused:  # the response was not read to its end
            self._paused = False
            self._transport.resume_reading()
        return usable

    def close(self) -> None:
        """Close the connection without waiting for pending writes."""
        self._stop_timer()
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and enable the detection of a vanished peer."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            enable_keepalive(sock)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer to read into."""
        return _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read into the buffer."""
        self.data_received(bytes(memoryview(_receive_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received data.

        Unexpected data closes the connection, since it could go on without end.
        """
        if not self._busy or self._complete:
            self._unexpected_data = True
            self.close()
            return
        self._framing_bytes += len(data)
        try:
            self._check_protocol(data)
            self._parser.feed_data(data)
        except (
            AnswerBrokenError,
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as exc:
            self._unexpected_data = True
            cause = getattr(exc.__context__ or exc, "message", exc)
            self._break(f"malformed response: {cause}")
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            self._break("responses to other requests are too long")
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._break("too many bytes beside those of the body")

    def eof_received(self) -> bool:
        """Process an orderly close, which completes a body without length."""
        self.reusable = False
        if self._busy and self._until_close and not self._complete:
            if self._ended_early():
                self._break("the server ended it without reading the whole request")
                return False
            self._complete = True
            self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail a response that is not complete."""
        self._transport = None
        self._stop_timer()
        if self._busy and not self._complete:
            self._fail(AnswerBrokenError(f"the connection ended: {exc or 'closed'}"))
        self._on_closed(self)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a response; a second one to the same request is unexpected."""
        if self._complete:
            self._unexpected_data = True
        self._headers = []
        self._header_bytes = 0

    def on_status(self, phrase: bytes) -> None:
        """Check the reason phrase, or a part of it."""
        if CONTROL_BYTE.search(phrase):
            raise AnswerBrokenError(f"reason phrase {phrase[:40]!r}")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            raise AnswerBrokenError("the response headers are too long")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Store the head, or start to skip a response to another request."""
        if self._complete:
            return
        status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        if (
            version not in HTTP_VERSIONS
            or not MIN_STATUS <= status <= MAX_STATUS
            or status == SWITCHING_PROTOCOLS
        ):
            raise AnswerBrokenError(f"status {status:03} of HTTP/{version}")
        codings = [
            value.strip().lower()
            for name, value in self._headers
            if name.lower() == b"transfer-encoding"
        ]
        if codings and (version == "1.0" or codings != [b"chunked"]):
            raise AnswerBrokenError(f"transfer coding {codings[0][:40]!r}")
        self._interim = 100 <= status < 200
        if self._interim:
            return
        headers = tuple(self._headers)
        self._skipping_other = not self._is_expected(headers)
        if self._skipping_other:
            self._unexpected_data = True
            return
        head = ResponseHead(status, headers)
        self.reusable = self.reusable and self._parser.should_keep_alive()
        self._until_close = not _is_framed(head)
        self._note_keep_alive(head)
        self._head = head
        self._framing_bytes = 0
        if self._head_only:
            # The parser isn't told the request's method, so it would take what follows
            # for the body that Content-Length announces.
            self._complete = True
            self.reusable = False
        self._wake()

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body; pause reading when the buffer is too large."""
        paid = (1 + FRAMING_PER_BODY_BYTE) * len(data)
        self._framing_bytes = max(0, self._framing_bytes - paid)
        if self._skipping_other:
            self._skipped_bytes += len(data)
        if self._skipping_other or self._complete:
            return
        self._chunks.append(bytes(data))
        self._buffered += len(data)
        if self._buffered > MAX_BUFFERED_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def on_message_complete(self) -> None:
        """End the current response, or the skipped one."""
        if self._interim:
            return
        if self._skipping_other:
            self._skipping_other = False
            return
        self._complete = True
        self._wake()

    def _check_protocol(self, data: bytes) -> None:
        """Raise AnswerBrokenError if the response is one of another protocol."""
        if len(self._protocol) < len(PROTOCOL):
            begin = (self._protocol + data[:MAX_HEADER_BYTES]).lstrip(b"\r\n")
            self._protocol = begin[: len(PROTOCOL)]
            if not PROTOCOL.startswith(self._protocol):
                raise AnswerBrokenError(f"it begins with {begin[:20]!r}")

    def _ended_early(self) -> bool:
        """Return whether the connection ended before the server had the whole request.

        A response without length may have been cut then: a server that resets the
        connection may have ended its side before, and only the reset is missing yet.
        """
        if self._transport.get_write_buffer_size():
            return True
        sock = self._transport.get_extra_info("socket")
        return sock is not None and (
            sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
            or unacknowledged_bytes(sock) > 0
        )

    def _has_arrived(self, head: bool) -> bool:
        if self._error is not None or self._complete:
            return True
        return self._head is not None if head else bool(self._chunks)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _fail(self, exc: TransportError) -> None:
        if self._error is None:
            self._error = exc
        self._wake()

    def _break(self, reason: str) -> None:
        """Fail a response that is not complete, and close the connection."""
        if not self._complete:
            self._fail(AnswerBrokenError(reason))
            self.close()

    def _time_out(self) -> None:
        self._timer = None
        if self._busy and not self._complete:
            self._fail(AnswerTimeoutError())
            self.close()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _note_keep_alive(self, head: ResponseHead) -> None:
        value = head.get(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.keep_alive_s = float(number)


def _is_framed(head: ResponseHead) -> bool:
    """Return whether the response ends without the connection being closed."""
    if head.status in (204, 304):
        return True
    names = {name.lower() for name, _ in head.headers}
    return b"content-length" in names or b"transfer-encoding" in names
