"""Errors of client connections, to endpoints and to the platform's store."""

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import EndpointError


class TransportError(EndpointError):
    """Base class of client connection errors: no complete response was received."""


class ConnectFailedError(TransportError):
    """The connection could not be opened, so nothing was sent."""

    default_code = ResultCode.NO_ENDPOINT


class PoolFullError(TransportError):
    """All connections that this node may open to the endpoint are in use."""

    default_code = ResultCode.NO_ENDPOINT


class AnswerBrokenError(TransportError):
    """The connection ended or sent malformed data before the response was complete."""

    default_code = ResultCode.ANSWER_TRUNCATED


class AnswerTimeoutError(TransportError):
    """The response was not complete by its deadline."""

    default_code = ResultCode.ENDPOINT_TIMEOUT
