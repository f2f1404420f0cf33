"""HTTP/1.1 on the hot path: a server for callers, channels to endpoints.

aiohttp's client takes a connection that is reset for the end of a body without
length; here a reset is always a broken answer. Both sides parse with httptools.
"""

from knapweedhinge.http1.channel import Channel, ResponseHead
from knapweedhinge.http1.connection import Limits
from knapweedhinge.http1.errors import (
    AnswerBrokenError,
    AnswerTimeoutError,
    ConnectFailedError,
    PoolFullError,
    TransportError,
)
from knapweedhinge.http1.exchange import Exchange
from knapweedhinge.http1.pool import Pool, PoolSettings
from knapweedhinge.http1.server import Server
from knapweedhinge.http1.sse import EventSplitter, StreamEvent

__all__ = [
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
