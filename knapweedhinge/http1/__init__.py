"""HTTP/1.1 for calls: a server for callers and client connections to endpoints.

Both sides parse with httptools. aiohttp's client is not used because it takes the reset
of a connection for the end of a body without length; here a reset is always an error.
"""

from knapweedhinge.http1.account import Account
from knapweedhinge.http1.channel import Channel, ResponseHead
from knapweedhinge.http1.errors import (
    AnswerBrokenError,
    AnswerTimeoutError,
    ConnectFailedError,
    PoolFullError,
    TransportError,
)
from knapweedhinge.http1.exchange import Exchange
from knapweedhinge.http1.limits import Limits
from knapweedhinge.http1.pool import Pool, PoolSettings
from knapweedhinge.http1.server import Server
from knapweedhinge.http1.sse import EventSplitter, StreamEvent

__all__ = [
    "Account",
    "AnswerBrokenError",
    "AnswerTimeoutError",
    "Channel",
    "ConnectFailedError",
    "EventSplitter",
    "Exchange",
    "Limits",
    "Pool",
    "PoolFullError",
    "PoolSettings",
    "ResponseHead",
    "Server",
    "StreamEvent",
    "TransportError",
]
