"""Account of what the servers of a process hold for their clients.

Made for crowds of clients that send much, or read nothing, and stay: what all of them
hold together is bounded, at whatever address they come in. Those who hold most for
longest are closed first, so callers with small requests are hardly ever among them.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from knapweedhinge.http1.connection import Connection
    from knapweedhinge.http1.limits import Limits

# Share of the allowed connections that are closed together when there are too many, so
# that a flood causes one pass over all connections per batch, not per connection.
EVICTED_SHARE = 0.05
# Share of the allowed memory that is freed beyond what is needed, for the same reason.
FREED_SHARE = 0.05
# Share of the allowed memory that is kept free of large requests, and by which small
# ones may exceed it: those are of ordinary callers.
RESERVED_SHARE = 0.1
SMALL_BYTES = 16 * 1024
# Added to the time for which a holder has not moved, so that among those who have just
# moved the largest is closed.
MOVING_S = 0.5


@dataclass(frozen=True, slots=True)
class Holding:
    """What closing one connection would free.

    ``size`` is in bytes, ``moved_at`` when its client last sent or read a fair amount,
    in seconds.
    """

    size: int
    moved_at: float


def choose_closed(holdings: Iterable[Holding], needed: int, now: float) -> list[int]:
    """Return the indexes of the holdings to close so that ``needed`` bytes get free.

    The product of size and of the time without movement decides: a large body that
    still arrives goes after a smaller one that stands still, and what an ordinary
    caller holds for a moment goes last.
    """
    found = [(index, held) for index, held in enumerate(holdings) if held.size > 0]
    found.sort(
        key=lambda item: item[1].size * (MOVING_S + max(0.0, now - item[1].moved_at)),
        reverse=True,
    )
    chosen, freed = [], 0
    for index, held in found:
        if freed >= needed:
            break
        chosen.append(index)
        freed += held.size
    return chosen


class Account:
    """Count what is held, by connection, and close connections beyond the limits.

    ``limits`` is called for each use. ``on_closed`` is called with the reason and the
    number of connections that were closed, "memory" or "connections". ``held_bytes`` is
    the sum over all ``connections``, those that are closing included.
    """

    def __init__(
        self,
        limits: Callable[[], "Limits"],
        on_closed: Callable[[str, int], None] = lambda reason, count: None,
    ):
        self.limits = limits
        self.on_closed = on_closed
        self.connections: set[Connection] = set()
        self.held_bytes = 0
        self._relieving = False

    def by_kind(self) -> dict[str, int]:
        """Return the bytes held by kind, and the number of connections."""
        kinds = Counter(connections=len(self.connections))
        for conn in self.connections:
            kinds.update(conn.held_by_kind())
        return dict(kinds)

    def add(self, conn: "Connection", now: float) -> None:
        """Count a new connection; close others if there are too many."""
        self.connections.add(conn)
        self._evict_excess()
        self.recount(conn, now)

    def remove(self, conn: "Connection") -> None:
        """Stop counting a connection that was lost."""
        if conn in self.connections:
            self.connections.discard(conn)
            self.held_bytes -= conn.charged

    def recount(self, conn: "Connection", now: float) -> None:
        """Count anew what a connection holds; close some if all hold too much."""
        if conn not in self.connections:
            return
        added = conn.recount(now)
        self.held_bytes += added
        if added > 0 and not self._relieving:
            max_bytes = self.limits().max_held_bytes
            if self.held_bytes > max_bytes:
                self._relieving = True
                try:
                    self._relieve(max_bytes, now)
                finally:
                    self._relieving = False

    def has_room(self, size: int) -> bool:
        """Return whether a request of ``size`` bytes may be answered.

        It is held already; its copy on the way to an endpoint comes on top.
        """
        share = RESERVED_SHARE if size <= SMALL_BYTES else -RESERVED_SHARE
        max_bytes = (1.0 + share) * self.limits().max_held_bytes
        return self.held_bytes + size <= max_bytes

    def _relieve(self, max_bytes: int, now: float) -> None:
        conns = [conn for conn in self.connections if not conn.is_closed]
        for conn in conns:
            self.held_bytes += conn.recount(now)
        held = self.held_bytes
        needed = held - int((1.0 - FREED_SHARE) * max_bytes)
        holdings = [conn.holding() for conn in conns]
        chosen = choose_closed(holdings, needed, now)
        for index in chosen:
            conns[index].evict(HTTPStatus.SERVICE_UNAVAILABLE)
        if chosen:
            self.on_closed("memory", len(chosen))
            logger.bind(
                held_bytes=held,
                largest=max(holdings[index].size for index in chosen),
                closed=len(chosen),
            ).warning("bodies hold too much memory")

    def _evict_excess(self) -> None:
        """Close the connections that were inactive longest if there are too many.

        Connections whose request is being answered are spared; if all are, the one that
        was active last is reset.
        """
        max_connections = self.limits().max_connections
        if len(self.connections) <= max_connections:
            return
        conns = [conn for conn in self.connections if not conn.is_closed]
        if (count := len(conns)) <= max_connections:
            return
        waiting = [conn for conn in conns if not conn.is_answering]
        waiting.sort(key=lambda conn: conn.silent_since)
        evicted = waiting[: max(1, int(EVICTED_SHARE * max_connections))]
        for conn in evicted:
            conn.evict(HTTPStatus.REQUEST_TIMEOUT)
        if not evicted:
            max(conns, key=lambda conn: conn.active_at).abort()
        closed = max(1, len(evicted))
        self.on_closed("connections", closed)
        logger.bind(connections=count, closed=closed).warning("too many connections")
