"""Connections to one server, kept open between requests."""

import asyncio
from dataclasses import dataclass

from knapweedhinge.core.codes import RunState
from knapweedhinge.http1.channel import Channel
from knapweedhinge.http1.errors import ConnectFailedError, PoolFullError

MOST = 64  # connections of a pool nobody set a bound for
KEEP_ALIVE_MARGIN_S = 0.5  # the server's close may already be on its way


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Bounds of a pool.

    ``fresh_s`` is the longest idle time after which a connection still carries a
    request that must not be sent twice.
    """

    connect_s: float = 0.6
    idle_s: float = 4.0
    fresh_s: float = 1.0


class Pool:
    """Give out connections to one address, the latest used first.

    At most ``most`` are open at once; it may change at any time.
    """

    def __init__(self, cfg: PoolSettings, ip: str, port: int, most: int = MOST):
        self.cfg = cfg
        self.most = most
        self.ip = ip
        self.port = port
        self.opened = 0
        self._idle: list[Channel] = []
        self._open: set[Channel] = set()
        self._connecting = 0

    def __len__(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._open) + self._connecting

    @property
    def full(self) -> bool:
        """Return whether a request would need one connection too many."""
        return not self._idle and len(self) >= self.most

    async def acquire(self, now: float, *, once: bool = False) -> Channel:
        """Return a connection, for a request that must run ``once`` a fresh one.

        Raise PoolFullError or ConnectFailedError, with nothing sent, without one.
        """
        channel = self._take_idle(now, self.cfg.fresh_s if once else self.cfg.idle_s)
        if channel is not None:
            return channel
        if len(self) >= self.most and self._idle:
            self._drop(self._idle.pop(0))
        if len(self) >= self.most:
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
        """Take a connection back; one that can't be used again is closed."""
        if channel.finish():
            channel.idle_since = now
            self._idle.append(channel)

    def sweep(self, now: float) -> None:
        """Close connections that were idle for long."""
        kept = [one for one in self._idle if self._is_fit(one, now, self.cfg.idle_s)]
        stale = set(self._idle) - set(kept)
        self._idle = kept
        for channel in stale:
            channel.close()

    def close(self) -> None:
        """Close the idle connections; used ones end with their requests."""
        for channel in self._idle:
            channel.close()
        self._idle = []

    def close_all(self) -> None:
        """Close every connection; requests on their way break off."""
        for channel in tuple(self._open):
            channel.close()
        self._idle = []

    async def _connect(self) -> Channel:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.cfg.connect_s):
                _, channel = await loop.create_connection(
                    lambda: Channel(self._closed), self.ip, self.port
                )
        except (OSError, TimeoutError) as exc:
            raise self._failed(repr(exc)) from exc
        self.opened += 1
        self._open.add(channel)
        return channel

    def _take_idle(self, now: float, longest_s: float) -> Channel | None:
        while self._idle:
            channel = self._idle.pop()
            if self._is_fit(channel, now, longest_s):
                return channel
            if now - channel.idle_since <= self.cfg.idle_s and not channel.closed:
                self._idle.append(channel)
                return None
            channel.close()
        return None

    def _is_fit(self, channel: Channel, now: float, longest_s: float) -> bool:
        if channel.closed:
            return False
        if channel.keep_alive_s is not None:
            longest_s = min(longest_s, channel.keep_alive_s - KEEP_ALIVE_MARGIN_S)
        return now - channel.idle_since <= longest_s

    def _drop(self, channel: Channel) -> None:
        """Close an idle connection; its place is free at once."""
        self._open.discard(channel)
        channel.close()

    def _closed(self, channel: Channel) -> None:
        self._open.discard(channel)
        if channel in self._idle:
            self._idle.remove(channel)

    def _failed(self, message: str) -> ConnectFailedError:
        return ConnectFailedError(
            f"{self.ip}:{self.port}: {message}", run_state=RunState.NOT_RUN
        )
