"""Reading of a client's requests, strict about framing and limits."""

from collections.abc import Callable
from http import HTTPStatus

import httptools
from loguru import logger

from knapweedhinge.http1.limits import Limits

# Estimates of the memory of a request's objects, and of those of a field beside its
# text, in bytes.
REQUEST_BYTES = 1024
FIELD_BYTES = 160


class BadRequestError(Exception):
    """A request breaks a limit; ``status`` is that of the response."""

    def __init__(self, status: int):
        self.status = status
        super().__init__(status)


class RequestReader:
    """Parser of the requests on one connection, one after another.

    ``limits`` is called for each request. ``on_continue`` is called when a client waits
    for 100 Continue, ``on_request`` when a request is complete, which is then in
    ``method``, ``target``, ``headers``, ``body``, ``http_version`` and ``keep_alive``;
    they may raise BadRequestError.

    ``reading`` says that a request has begun and is not complete, ``reading_head`` that
    its head is not. ``begun`` counts the requests.
    """

    def __init__(
        self,
        limits: Callable[[], Limits],
        on_continue: Callable[[], None],
        on_request: Callable[[], None],
    ):
        self.method = ""
        self.target = bytearray()
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.http_version = "1.1"
        self.keep_alive = True
        self.reading = False
        self.reading_head = False
        self.begun = 0
        self._get_limits = limits
        self._limits: Limits | None = None  # of the request that is being read
        self._on_continue = on_continue
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0  # of complete headers
        self._head_received = 0
        self._fields_bytes = 0  # memory of the headers

    @property
    def reading_body(self) -> bool:
        """Return whether a request's head is complete and its body isn't."""
        return self.reading and not self.reading_head

    @property
    def head_bytes(self) -> int:
        """Return the memory of the headers that have been read."""
        return self._fields_bytes

    @property
    def request_bytes(self) -> int:
        """Return the memory of the request that has been read."""
        return REQUEST_BYTES + self._fields_bytes + len(self.body)

    def feed(self, data: bytes) -> None:
        """Parse data; raise BadRequestError if a request can't be read."""
        begun = self.begun
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as exc:
            status = getattr(exc.__context__, "status", None)
            if status is None:
                logger.opt(exception=exc).error("request parser failed")
            raise BadRequestError(status or HTTPStatus.INTERNAL_SERVER_ERROR) from exc
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            raise BadRequestError(HTTPStatus.BAD_REQUEST) from exc
        if self.reading_head and self.begun == begun:
            # The parser's callbacks count only complete headers, so count all received
            # bytes too, spaces included. Data in which the head began may hold other
            # requests before it.
            self._head_received += len(data)
            if self._head_received > 2 * self._limits.max_header_bytes:
                raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def drop(self) -> None:
        """Free what was read of the present request."""
        self.headers, self.body, self._fields_bytes = [], bytearray(), 0

    def on_message_begin(self) -> None:
        """Reset the state for the next request."""
        self._limits = self._get_limits()
        self.drop()
        self.target = bytearray()
        self._head_bytes = self._head_received = 0
        self.begun += 1
        self.reading = self.reading_head = True

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may arrive in parts."""
        self.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._count_head(len(name) + len(value) + 4)  # with ": " and CRLF
        self.headers.append((name, value))
        self._fields_bytes += FIELD_BYTES + len(name) + len(value)
        if len(self.headers) > self._limits.max_fields:
            raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Store the request line; refuse a body that is announced as too large."""
        self.reading_head = False
        self.method = self._parser.get_method().decode()
        self.http_version = self._parser.get_http_version()
        self.keep_alive = self._parser.should_keep_alive()
        expects_continue = False
        for name, value in self.headers:
            match name.lower():
                case b"expect":
                    expects_continue |= value.lower() == b"100-continue"
                case b"content-length":
                    if int(value) > self._limits.max_body_bytes:
                        raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if expects_continue:
            self._on_continue()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        if len(self.body) + len(data) > self._limits.max_body_bytes:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self.body += data

    def on_message_complete(self) -> None:
        """Hand the complete request over and free it."""
        self._on_request()
        self.reading = False
        self.drop()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.max_header_bytes:
            raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
