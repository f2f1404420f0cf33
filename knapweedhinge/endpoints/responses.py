"""HTTP responses of endpoints, as the HTTP client library presents them."""

import aiohttp

from knapweedhinge.http1.channel import unacknowledged_bytes

TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
# Statuses that say that the call was not run.
REFUSALS = frozenset({TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE})
# Statuses of final responses, and versions of HTTP, that an endpoint may answer with.
MIN_STATUS, MAX_STATUS = 200, 599
VERSIONS = (aiohttp.HttpVersion10, aiohttp.HttpVersion11)


class MalformedResponseError(aiohttp.ClientError):
    """A response that the protocol doesn't allow, or whose end wasn't a clean one."""


class EndpointResponse(aiohttp.ClientResponse):
    """A response that HTTP/1 allows.

    The connection of a refusal isn't used again. It may lack the call's id, so that a
    second copy of it could not be told from the answer to the next call on the
    connection. The library returns the connection of a response without a body to its
    pool before the response's user can close it.
    """

    async def start(self, connection: aiohttp.connector.Connection):
        """Read the head of the response; close the connection if it is a refusal.

        Raise MalformedResponseError for a first line that the protocol doesn't allow,
        and for a response without length to a request that wasn't read to its end: the
        connection may be reset at any time then.
        """
        protocol, transport = connection.protocol, connection.transport
        resp = await super().start(connection)
        if not MIN_STATUS <= self.status <= MAX_STATUS or self.version not in VERSIONS:
            raise MalformedResponseError(f"status {self.status:03} of {self.version}")
        self._end = None if self._is_framed() else protocol
        if self._end is not None and transport is not None and _is_unread(transport):
            raise MalformedResponseError("an answer without length in the upload")
        if self.status in REFUSALS and protocol is not None:
            protocol.close()
        return resp

    def ensure_clean_end(self) -> None:
        """Raise MalformedResponseError if a body without length was cut by a reset.

        The library takes any end of the connection for the end of such a body. Call
        this once it was read.
        """
        if self._end is not None and isinstance(self._end.exception(), OSError):
            raise MalformedResponseError("the connection was reset")

    def _is_framed(self) -> bool:
        """Return whether the response ends without the connection being closed."""
        names = self.headers
        return "Content-Length" in names or "Transfer-Encoding" in names


def _is_unread(transport) -> bool:
    """Return whether the peer hasn't received all that was written."""
    sock = transport.get_extra_info("socket")
    return transport.get_write_buffer_size() > 0 or (
        sock is not None and unacknowledged_bytes(sock) > 0
    )
