"""One request of a client, and the means to answer it."""

from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from knapweedhinge.http1.connection import Connection

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}

Headers = tuple[tuple[bytes, bytes], ...]


class Exchange:
    """One request with its whole body, and the means to answer it."""

    __slots__ = (
        "_chunked",
        "_connection",
        "answered",
        "body",
        "began",
        "headers",
        "keep_alive",
        "method",
        "received_at",
        "target",
        "version",
    )

    def __init__(self, connection: "Connection", received_at: float):
        self._connection = connection
        self._chunked = False
        self.method = connection.method
        self.target = bytes(connection.target)
        self.headers: Headers = tuple(connection.headers)
        self.body = b"".join(connection.chunks)
        self.version = connection.http_version
        self.keep_alive = connection.keep_alive
        self.received_at = received_at
        self.began = False
        self.answered = False

    def get(self, name: bytes) -> bytes | None:
        """Return the first header of this lower-case name."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None

    def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Write a whole answer."""
        if self._connection.gone:
            return
        head = self._head(status, headers)
        head.append(b"Content-Length: %d\r\n\r\n" % len(body))
        if self.method != "HEAD":
            head.append(body)
        self._connection.write(b"".join(head))
        self._finish()

    def begin(self, status: int, headers: Headers, data: bytes = b"") -> None:
        """Write the head of an answer whose length isn't known, and first bytes."""
        if self._connection.gone:
            return
        self._chunked = self.version != "1.0"
        head = self._head(status, headers)
        if self._chunked:
            head.append(b"Transfer-Encoding: chunked\r\n")
        head.append(b"\r\n")
        if data:
            head.append(self._frame(data))
        self._connection.write(b"".join(head))

    def send(self, data: bytes) -> None:
        """Write a part of the body."""
        if data and not self._connection.gone:
            self._connection.write(self._frame(data))

    def end(self) -> None:
        """End the body."""
        if self._connection.gone:
            return
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self._finish()

    def abort(self) -> None:
        """Break the connection off, so that the answer can't look complete."""
        self.answered = True
        self._connection.abort()

    async def drained(self) -> None:
        """Return once the client has read most of what was written."""
        await self._connection.drained()

    def _head(self, status: int, headers: Headers) -> list[bytes]:
        self.began = True
        keep = self.keep_alive and not self._connection.server.draining
        self.keep_alive = keep and self.version != "1.0"
        head = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Status"))]
        head += [b"%s: %s\r\n" % pair for pair in headers]
        if not self.keep_alive:
            head.append(b"Connection: close\r\n")
        return head

    def _frame(self, data: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data

    def _finish(self) -> None:
        self.answered = True
        self._connection.answered(self)
