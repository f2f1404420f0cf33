"""Connection pool to one server."""

import asyncio
from dataclasses import dataclass

from knapweedhinge.core.codes import RunState
from knapweedhinge.http1.channel import Channel
from knapweedhinge.http1.errors import ConnectFailedError, PoolFullError

DEFAULT_MAX_CONNECTIONS = 64  # for a pool without an explicit limit
# Time before the end of the server's keep-alive timeout from which a connection isn't
# reused, since the server may be closing it already.
KEEP_ALIVE_MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Time limits of a pool, in seconds.

    ``connect_timeout_s`` limits opening a connection, ``max_idle_s`` its idle time. A
    request that must not be sent twice only reuses a connection that was idle for at
    most ``max_idle_once_s``, since the server is less likely to be closing it.
    """

    connect_timeout_s: float = 0.6
    max_idle_s: float = 4.0
    max_idle_once_s: float = 1.0


class Pool:
    """Pool of connections to one address, of which the last used is reused first.

    At most ``max_open`` are open at once; this limit may change at any time. ``opened``
    counts the connections opened since the start.
    """

    def __init__(
        self,
        cfg: PoolSettings,
        ip: str,
        port: int,
        max_open: int = DEFAULT_MAX_CONNECTIONS,
    ):
        self.cfg = cfg
        self.max_open = max_open
        self.ip = ip
        self.port = port
        self.opened = 0
        self._idle: list[Channel] = []
        self._open: set[Channel] = set()
        self._connecting = 0

    def __len__(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._open) + self._connecting

    @property
    def full(self) -> bool:
        """Return whether no connection is idle and no further one may be opened."""
        return not self._idle and len(self) >= self.max_open

    async def acquire(self, now: float, *, unrepeatable: bool = False) -> Channel:
        """Return an idle or a new connection.

        ``now`` is in seconds on the same clock as for :meth:`release` and
        :meth:`sweep`. Pass ``unrepeatable`` for a request that must not be sent twice.
        Raise PoolFullError or ConnectFailedError if there is no connection; nothing was
        sent then.
        """
        channel = self._take_idle(
            now, self.cfg.max_idle_once_s if unrepeatable else self.cfg.max_idle_s
        )
        if channel is not None:
            return channel
        if len(self) >= self.max_open and self._idle:
            self._close_idle(self._idle.pop(0))
        if len(self) >= self.max_open:
            raise PoolFullError(
                f"{self.ip}:{self.port}: {len(self)} connections in use",
                run_state=RunState.NOT_RUN,
            )
        self._connecting += 1
        try:
            return await self._connect()
        finally:
            self._connecting -= 1

    def release(self, channel: Channel, now: float) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        if channel.finish():
            channel.idle_since = now
            self._idle.append(channel)

    def sweep(self, now: float) -> None:
        """Close the connections that were idle for longer than allowed."""
        kept = [
            idle
            for idle in self._idle
            if self._is_reusable(idle, now, self.cfg.max_idle_s)
        ]
        stale = set(self._idle) - set(kept)
        self._idle = kept
        for channel in stale:
            channel.close()

    def close(self) -> None:
        """Close the idle connections; those in use end with their requests."""
        for channel in self._idle:
            channel.close()
        self._idle = []

    def close_all(self) -> None:
        """Close every connection, which aborts the requests in progress."""
        for channel in tuple(self._open):
            channel.close()
        self._idle = []

    async def _connect(self) -> Channel:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.cfg.connect_timeout_s):
                _, channel = await loop.create_connection(
                    lambda: Channel(self._on_closed), self.ip, self.port
                )
        except (OSError, TimeoutError) as exc:
            raise self._connect_error(repr(exc)) from exc
        self.opened += 1
        self._open.add(channel)
        return channel

    def _take_idle(self, now: float, allowed_idle_s: float) -> Channel | None:
        while self._idle:
            channel = self._idle.pop()
            if self._is_reusable(channel, now, allowed_idle_s):
                return channel
            if now - channel.idle_since <= self.cfg.max_idle_s and not channel.closed:
                # A request that may be sent twice can still use it, unless the server's
                # keep-alive timeout forbids that; sweep() closes it then. The others
                # have been idle for longer.
                self._idle.append(channel)
                return None
            channel.close()
        return None

    def _is_reusable(self, channel: Channel, now: float, allowed_idle_s: float) -> bool:
        if channel.closed:
            return False
        if channel.keep_alive_s is not None:
            allowed_idle_s = min(
                allowed_idle_s, channel.keep_alive_s - KEEP_ALIVE_MARGIN_S
            )
        return now - channel.idle_since <= allowed_idle_s

    def _close_idle(self, channel: Channel) -> None:
        """Close an idle connection and stop counting it immediately."""
        self._open.discard(channel)
        channel.close()

    def _on_closed(self, channel: Channel) -> None:
        self._open.discard(channel)
        if channel in self._idle:
            self._idle.remove(channel)

    def _connect_error(self, message: str) -> ConnectFailedError:
        return ConnectFailedError(
            f"{self.ip}:{self.port}: {message}", run_state=RunState.NOT_RUN
        )
