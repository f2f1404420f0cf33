"""What each connection to a peer holds, and which are closed when they hold too much.

Made for peers that send large or many messages ahead, stop half-way through one or read
nothing of what they are sent, and for strangers who do so before any proof. The RPC
library keeps what it reads and has to write without a bound of its own, so it is
counted here, between the library and its transport: a call from its arrival until the
transport takes its answer, which it does when earlier ones were read.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Collection
from typing import Any

import capnp

from knapweedhinge.peers.framing import (
    BOOTSTRAP,
    CALL,
    FINISH,
    RETURN,
    MessageFollower,
)

# Counted for each message: the library's buffers and objects around its content.
MESSAGE_OVERHEAD_BYTES = 8 * 1024
# Of a call that runs: its task. The message is counted from its arrival.
TASK_BYTES = 2 * 1024
# Of a call that was answered and is not finished: its entry in the library's table.
ANSWERED_BYTES = 256
# What a connection may send before its proof; a handshake has less than 2 KB.
MAX_UNPROVEN_BYTES = 64 * 1024
MAX_UNPROVEN_CALLS = 8  # at a time; a handshake has three
# Most bytes that are read at once, so that connections are closed before much more of
# the others is here.
READ_BYTES = 64 * 1024
# Share of the allowed memory that a single connection may hold, and from which on its
# calls are refused. At the least memory that a process may have, the largest call fits.
FLOW_SHARE = 0.75
ROOM_SHARE = 0.375
# Added to the time for which a connection has not moved, so that among those that have
# just moved the one that holds most is closed.
MOVING_S = 0.5
# After this time without a pause in writing, the library has written all it had.
DRAINED_S = 0.05


class Flow(asyncio.BufferedProtocol):
    """The bytes of one connection, between the RPC library and the transport.

    ``proven`` tells whether the other side has authenticated; if not, it may send
    little.
    ``moved_at`` is when a byte was last read or taken by the other side, ``blocked_at``
    when the transport asked to pause writing, None if it doesn't; both in seconds.
    """

    def __init__(self, pool: "FlowPool", *, proven: bool):
        self.proven = proven
        self.moved_at = pool.clock()
        self.blocked_at: float | None = None
        self.closed = False
        self.charged = 0
        self._pool = pool
        self._received = 0
        self._buffer = memoryview(b"")
        self._messages = MessageFollower()
        self._written = MessageFollower()
        self._running = 0
        self._unread = 0
        self._questions = 0  # calls whose answers the transport has not taken
        self._unfinished = 0  # calls for which the other side keeps the answer
        self._unsent = 0  # bytes in the transport when progress was last noted
        self._answers: deque[int] = deque()
        self._answer_bytes = 0
        self._inner: Any = None
        self._transport: Any = None

    @property
    def held_bytes(self) -> int:
        """Return about how many bytes closing the connection would free.

        ``charged`` is the part of it that the pool has counted.
        """
        questions = self._questions * MESSAGE_OVERHEAD_BYTES + self._answer_bytes
        questions += max(0, self._unfinished) * ANSWERED_BYTES
        return self._messages.arrived + self._running + self._unread + questions

    def serve(self, accept: Callable[[Any], Any]) -> "Flow":
        """Let ``accept`` handle the stream once it is connected."""
        self._inner = capnp.AsyncIoStream._connect(accept)
        return self

    def count_sent(self, size: int) -> None:
        """Count a call of the other side, which may read it or not."""
        if self.blocked_at is not None:
            self._unread += size + MESSAGE_OVERHEAD_BYTES
            self._pool.check(self)

    def count_answer(self, size: int) -> None:
        """Count an answer until the transport takes it; they are written in order."""
        self._answers.append(size)
        self._answer_bytes += size
        self._pool.check(self)

    def has_room(self, size: int) -> bool:
        """Return whether a call with an argument of ``size`` bytes may run."""
        if self.closed:
            return False
        held = self.held_bytes + 2 * size
        return self._running == 0 or held <= ROOM_SHARE * self._pool.max_held_bytes

    def may_send(self, size: int) -> bool:
        """Return whether the other side reads, or what it doesn't is little."""
        held = self._unread + size
        return self.blocked_at is None or held <= ROOM_SHARE * self._pool.max_held_bytes

    def start_call(self, size: int) -> int:
        """Count a call that runs, with its argument; return what to give back."""
        held = 2 * size + TASK_BYTES  # the library's copy and ours
        self._running += held
        self._pool.check(self)
        return held

    def end_call(self, held: int) -> None:
        """Give back what ``start_call`` counted."""
        self._running -= held

    def abort(self) -> None:
        """Close the connection without waiting for what is still to be written."""
        if not self.closed:
            self.closed = True
            self._transport.abort()

    # The transport calls these.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Pass a transport to the library that counts what is written."""
        self._transport = transport
        # asyncio doesn't set it for a listener that was given to it.
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pool.flows.add(self)
        self._inner.connection_made(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self.closed = True
        self._pool.remove(self)
        self._inner.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> Any:
        """Return the beginning of the library's buffer."""
        self._buffer = memoryview(self._inner.get_buffer(sizehint))[:READ_BYTES]
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Count bytes that were read."""
        self._received += nbytes
        self.moved_at = self._pool.clock()
        data, self._buffer = self._buffer[:nbytes], memoryview(b"")
        for kind in self._messages.feed(data):
            is_call = kind in (CALL, BOOTSTRAP)
            self._questions += is_call
            self._unfinished += is_call - (kind == FINISH)
        data.release()
        if not self.proven and (
            self._received > MAX_UNPROVEN_BYTES or self._questions > MAX_UNPROVEN_CALLS
        ):
            self._pool.close(self, "unproven")
        else:
            self._pool.check(self)
        if not self.closed:
            self._inner.buffer_updated(nbytes)

    def eof_received(self) -> Any:
        """Pass on that the other side sends no more."""
        return self._inner.eof_received()

    def pause_writing(self) -> None:
        """Note that the other side doesn't read."""
        self.blocked_at = self._pool.clock()
        self._unsent = self._transport.get_write_buffer_size()
        self._inner.pause_writing()

    def note_progress(self, now: float) -> None:
        """Note whether the other side has read since the last time."""
        unsent = self._transport.get_write_buffer_size()
        if self.blocked_at is not None and unsent < self._unsent:
            self.blocked_at = self.moved_at = now
        self._unsent = unsent

    def resume_writing(self) -> None:
        """Note that the other side has read."""
        self.moved_at = self._pool.clock()
        self.blocked_at = None
        self._inner.resume_writing()
        if self._unread:
            asyncio.get_running_loop().call_later(DRAINED_S, self._note_drained)

    def _note_drained(self) -> None:
        if self.blocked_at is None:
            self._unread = 0

    # The library calls these.

    def write(self, data: bytes) -> None:
        """Write to the transport."""
        self._unread = max(0, self._unread - len(data))
        for kind in self._written.feed(memoryview(data)):
            self._questions -= kind == RETURN
        while len(self._answers) > max(0, self._questions):
            self._answer_bytes -= self._answers.popleft()
        self._transport.write(data)

    def pause_reading(self) -> None:
        """Read nothing until ``resume_reading``."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        self._transport.resume_reading()

    def is_closing(self) -> bool:
        """Return whether the connection is closed or will be."""
        return self._transport.is_closing()

    def can_write_eof(self) -> bool:
        """Return whether ``write_eof`` is possible."""
        return self._transport.can_write_eof()

    def write_eof(self) -> None:
        """Tell the other side that no more will be written."""
        self._transport.write_eof()

    def close(self) -> None:
        """Close; what a side that doesn't read has not taken is dropped."""
        if self.blocked_at is None:
            self._transport.close()
        else:
            self._transport.abort()


class FlowPool:
    """The connections of one node; closes some if all of them hold too much.

    ``on_closed`` gets the reason and the connection: "memory", "unread", "unproven" or
    "connections".
    """

    def __init__(
        self,
        max_held_bytes: int,
        clock: Callable[[], float],
        on_closed: Callable[[str, Flow], None] = lambda reason, flow: None,
    ):
        self.max_held_bytes = max_held_bytes
        self.clock = clock
        self.flows: set[Flow] = set()
        self.held_bytes = 0
        self._on_closed = on_closed

    def check(self, flow: Flow) -> None:
        """Close a connection that holds too much; if all do, those to blame most."""
        self._recount(flow)
        if flow.held_bytes > FLOW_SHARE * self.max_held_bytes:
            self.close(flow, "memory")
        if self.held_bytes > self.max_held_bytes:
            self._relieve()

    def remove(self, flow: Flow) -> None:
        """Stop counting a connection that was lost."""
        self.flows.discard(flow)
        self.held_bytes -= flow.charged
        flow.charged = 0

    def _recount(self, flow: Flow) -> None:
        held = 0 if flow.closed else flow.held_bytes
        self.held_bytes += held - flow.charged
        flow.charged = held

    def _relieve(self) -> None:
        for flow in self.flows:
            self._recount(flow)
        needed = self.held_bytes - self.max_held_bytes
        for chosen in choose_closed(self.flows, needed, self.clock()):
            self.close(chosen, "memory")

    def close_unread(self, timeout_s: float, now: float) -> None:
        """Close the connections whose other side has read nothing for a time."""
        for flow in tuple(self.flows):
            flow.note_progress(now)
            if flow.blocked_at is not None and now - flow.blocked_at > timeout_s:
                self.close(flow, "unread")

    def close(self, flow: Flow, reason: str) -> None:
        """Close a connection that is to blame, and report it."""
        if not flow.closed:
            flow.abort()
            self._recount(flow)
            self._on_closed(reason, flow)


def choose_closed(flows: Collection[Flow], needed: int, now: float) -> list[Flow]:
    """Return the connections to close so that ``needed`` bytes get free.

    The product of what they hold and of the time without movement decides.
    """
    found = [flow for flow in flows if flow.held_bytes > 0 and not flow.closed]
    found.sort(
        key=lambda flow: flow.held_bytes * (MOVING_S + max(0.0, now - flow.moved_at)),
        reverse=True,
    )
    chosen, freed = [], 0
    for flow in found:
        if freed >= needed:
            break
        chosen.append(flow)
        freed += flow.held_bytes
    return chosen
