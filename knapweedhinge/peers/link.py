"""One authenticated connection to a peer."""

import asyncio
from contextlib import suppress
from typing import Any

from knapweedhinge.peers.delay_estimator import DelayEstimator
from knapweedhinge.peers.members import Member


class Link:
    """An authenticated connection to a peer.

    ``session`` is the RPC object of the peer, None once closed; ``dialed`` tells
    whether this node opened the connection.
    """

    def __init__(self, member: Member, dialed: bool, now: float):
        self.member = member
        self.dialed = dialed
        self.last_used = now
        self.delay_estimator = DelayEstimator()
        self.session: Any = None
        self.closed = asyncio.Event()
        self._stream: Any = None
        self._owner: Any = None

    def attach(self, stream: Any, owner: Any, session: Any) -> None:
        """Set the peer's session and keep the RPC objects alive with the link."""
        self._stream, self._owner, self.session = stream, owner, session

    def close(self) -> None:
        """Close the connection; running and later calls on it fail."""
        if self.closed.is_set():
            return
        self.closed.set()
        self.session = None
        owner, stream = self._owner, self._stream
        self._owner = self._stream = None
        with suppress(Exception):
            owner.close()
        with suppress(Exception):
            stream.close()
