"""A client's request and the methods to answer it."""

from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from knapweedhinge.http1.connection import Connection
    from knapweedhinge.http1.reader import RequestReader

NO_BODY = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}

Headers = tuple[tuple[bytes, bytes], ...]


class Exchange:
    """A request with its complete body, and the methods to answer it.

    Writing does nothing once the client has disconnected. ``received_at`` is when the
    request was complete, in seconds on the server's clock. ``version`` is the HTTP
    version, such as "1.1". ``size`` is the memory of the request in bytes. ``began``
    says that the head of the response was written, ``answered`` that the response was
    finished or aborted.
    """

    __slots__ = (
        "_bodiless",
        "_chunked",
        "_connection",
        "answered",
        "body",
        "began",
        "headers",
        "keep_alive",
        "method",
        "received_at",
        "size",
        "target",
        "version",
    )

    def __init__(
        self,
        connection: "Connection",
        reader: "RequestReader",
        received_at: float,
        size: int,
    ):
        self._connection = connection
        self._bodiless = False
        self._chunked = False
        self.method = reader.method
        self.target = bytes(reader.target)
        self.headers: Headers = tuple(reader.headers)
        self.body = bytes(reader.body)
        self.version = reader.http_version
        self.keep_alive = reader.keep_alive
        self.received_at = received_at
        self.size = size
        self.began = False
        self.answered = False

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` must be in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None

    def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Write a complete response."""
        if self._connection.disconnected:
            return
        head = self._head(status, headers)
        if self._bodiless:
            head.append(b"\r\n")
        else:
            head.append(b"Content-Length: %d\r\n\r\n" % len(body))
            head.append(body)
        self._connection.write(b"".join(head))
        self._finish()

    def begin(self, status: int, headers: Headers, data: bytes = b"") -> None:
        """Write the head of a response of unknown length, and the first bytes."""
        if self._connection.disconnected:
            return
        head = self._head(status, headers)
        self._chunked = self.version != "1.0" and not self._bodiless
        if self._chunked:
            head.append(b"Transfer-Encoding: chunked\r\n")
        head.append(b"\r\n")
        if data and not self._bodiless:
            head.append(self._frame(data))
        self._connection.write(b"".join(head))

    def send(self, data: bytes) -> None:
        """Write a part of the response body."""
        if data and not self._bodiless and not self._connection.disconnected:
            self._connection.write(self._frame(data))

    def end(self) -> None:
        """Finish the response body."""
        if self._connection.disconnected:
            return
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self._finish()

    def abort(self) -> None:
        """Reset the connection, so that the response can't look complete."""
        self.answered = True
        self._connection.abort()

    async def wait_writable(self) -> None:
        """Wait until the write buffer has room again."""
        await self._connection.wait_writable()

    def _head(self, status: int, headers: Headers) -> list[bytes]:
        """Return the head, and decide whether there is a body and keep-alive.

        A server that stops still answers the complete requests that wait.
        """
        self.began = True
        # Such a response ends with its head; other bytes would precede the next one.
        self._bodiless = self.method == "HEAD" or status in NO_BODY
        server = self._connection.server
        stopping = server.draining or server.closed
        keep = self.keep_alive and (self._connection.has_waiting or not stopping)
        self.keep_alive = keep and self.version != "1.0"
        head = [b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Status"))]
        head += [b"%s: %s\r\n" % pair for pair in headers]
        if not self.keep_alive:
            head.append(b"Connection: close\r\n")
        return head

    def _frame(self, data: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data

    def _finish(self) -> None:
        self.answered = True
        self._connection.on_answered(self)
