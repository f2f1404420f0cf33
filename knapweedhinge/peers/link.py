"""One authenticated connection to a peer."""

import asyncio
from contextlib import suppress
from typing import Any

from knapweedhinge.peers.delay_estimator import DelayEstimator
from knapweedhinge.peers.flow import Flow
from knapweedhinge.peers.members import Member


class Link:
    """An authenticated connection to a peer.

    ``session`` is the RPC object of the peer, None once closed; ``dialed`` tells
    whether this node opened the connection. ``last_used`` is the time of the last call
    in either direction, in seconds of the local clock. ``flow`` counts what the
    connection holds.
    """

    def __init__(self, member: Member, dialed: bool, now: float, flow: Flow):
        self.member = member
        self.flow = flow
        self.dialed = dialed
        self.last_used = now
        self.delay_estimator = DelayEstimator()
        self.session: Any = None
        self.closed = asyncio.Event()
        self._stream: Any = None
        self._client: Any = None

    def attach(self, stream: Any, client: Any, session: Any) -> None:
        """Set the peer's session and keep the RPC objects alive with the link.

        ``client`` is the RPC client of a dialed connection, otherwise None.
        """
        self._stream, self._client, self.session = stream, client, session

    def close(self) -> None:
        """Close the connection; running and later calls on it fail."""
        if self.closed.is_set():
            return
        self.closed.set()
        self.session = None
        client, stream = self._client, self._stream
        self._client = self._stream = None
        with suppress(Exception):
            client.close()
        with suppress(Exception):
            stream.close()
