"""HTTP responses of endpoints, as the HTTP client library presents them."""

import aiohttp

TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
# Statuses that say that the call was not run.
REFUSALS = frozenset({TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE})
# Statuses of final responses, and versions of HTTP, that an endpoint may answer with.
MIN_STATUS, MAX_STATUS = 200, 599
VERSIONS = (aiohttp.HttpVersion10, aiohttp.HttpVersion11)


class MalformedResponseError(aiohttp.ClientError):
    """A response that the protocol doesn't allow."""


class EndpointResponse(aiohttp.ClientResponse):
    """A response that HTTP/1 allows.

    The connection of a refusal isn't used again. It may lack the call's id, so that a
    second copy of it could not be told from the answer to the next call on the
    connection. The library returns the connection of a response without a body to its
    pool before the response's user can close it.
    """

    async def start(self, connection: aiohttp.connector.Connection):
        """Read the head of the response; close the connection if it is a refusal.

        Raise MalformedResponseError for a first line that the protocol doesn't allow.
        """
        protocol = connection.protocol
        resp = await super().start(connection)
        if not MIN_STATUS <= self.status <= MAX_STATUS or self.version not in VERSIONS:
            raise MalformedResponseError(f"status {self.status:03} of {self.version}")
        if self.status in REFUSALS and protocol is not None:
            protocol.close()
        return resp
