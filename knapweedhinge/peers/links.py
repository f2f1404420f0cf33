"""Connection pool: dials, accepts, authenticates and closes connections to peers.

One connection carries calls both ways: the dialer passes its own session to the other
side as it authenticates. Connections to neighbours are kept open; any other peer is
dialed when it is called, and its connection is closed when idle.
"""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import Any

import capnp
import msgspec
from loguru import logger

from knapweedhinge.conf.node import NodeSettings
from knapweedhinge.core.codes import RunState
from knapweedhinge.core.exceptions import PeerError
from knapweedhinge.peers.flow import Flow, FlowPool
from knapweedhinge.peers.handshake import Authenticator, GateServer
from knapweedhinge.peers.limits import PeerLimits
from knapweedhinge.peers.link import Link
from knapweedhinge.peers.members import Member
from knapweedhinge.peers.tasks import Tasks
from knapweedhinge.peers.traffic import RefusalReason
from knapweedhinge.peers.wire import MAX_MESSAGE_WORDS, MAX_NESTING

HANDSHAKE_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 30.0  # of the dialer; the acceptor waits twice as long
MAX_UNAUTHENTICATED = 128  # connections in their handshake at a time
FIRST_BACKOFF_S = 0.1  # upper bound after a failed dial, doubled after each further one
MAX_BACKOFF_S = 5.0
BACKLOG = 1024  # connections that the kernel queues until they are accepted
# Connections accepted before others are looked at, so that those beyond the limit are
# closed before many more have taken a descriptor.
ACCEPTED_AT_ONCE = 16
MAX_LINKS_PER_VM = 4  # accepted ones; two nodes that dial each other at once have two
UNREAD_TIMEOUT_S = 10.0  # in which a peer reads nothing of what waits for it
LOG_INTERVAL_S = 1.0  # between log lines about connections that were closed


@dataclass
class _Backoff:
    """Failed dials of a VM in a row, and when it may be dialed again."""

    failures: int = 0
    until: float = float("-inf")


class LinkPool:
    """The links of one node to its peers.

    ``on_up`` and ``on_down`` are called for each link that is opened or closed,
    ``on_closed`` with the reason for each connection that held too much.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        authenticator: Authenticator,
        *,
        clock: Callable[[], float],
        rng: Random,
        limits: PeerLimits | None = None,
        on_closed: Callable[[str], None] = lambda reason: None,
    ):
        self._limits = limits or PeerLimits()
        self.flows = FlowPool(self._limits.max_held_bytes, clock, self._note_closed)
        self._on_closed = on_closed
        self._closed_unlogged = 0
        self._log_at = float("-inf")
        self._cfg = cfg
        self._authenticator = authenticator
        self._counters = authenticator.counters
        self._clock = clock
        self._rng = rng
        self._links: dict[str, list[Link]] = {}
        self._dials: dict[str, asyncio.Task] = {}
        self._backoffs: dict[str, _Backoff] = {}
        self._unauthenticated = 0
        self._accepting = False
        self._closed = False
        self._server: Any = None
        self._tasks = Tasks()
        self.on_up: Callable[[Link], None] = lambda link: None
        self.on_down: Callable[[Link], None] = lambda link: None

    @property
    def vm(self) -> str:
        """Return the name of this node's VM."""
        return self._cfg.listen.vm

    @property
    def region(self) -> str:
        """Return the region of this node."""
        return self._cfg.listen.region

    async def serve(self) -> int:
        """Listen for peers and return the port."""
        listen = self._cfg.listen
        family = socket.AF_INET6 if ":" in listen.ip else socket.AF_INET
        address = (listen.ip, listen.peer_port)
        listener = socket.create_server(address, family=family, backlog=BACKLOG)
        listener.setblocking(False)
        self._server = await asyncio.get_running_loop().create_server(
            self._make_accepted, sock=listener, backlog=ACCEPTED_AT_ONCE
        )
        listener.listen(BACKLOG)  # asyncio has set the queue to its own number
        return listener.getsockname()[1]

    def accept_peers(self) -> None:
        """Accept peers from now on; before, their connections are closed at once."""
        self._accepting = True

    async def close(self) -> None:
        """Close the listener and every link."""
        self._closed = True
        self._accepting = False
        if self._server is not None:
            self._server.close()
        for link in self.all():
            self._drop(link)
        await self._tasks.stop()

    def all(self) -> tuple[Link, ...]:
        """Return the open links."""
        return tuple(link for links in self._links.values() for link in links)

    def get(self, vm: str) -> Link | None:
        """Return an open link to a VM, or None."""
        links = self._links.get(vm)
        return links[0] if links else None

    async def get_or_dial(
        self, member: Member, timeout_s: float, force: bool = False
    ) -> Link:
        """Return a link to a member, and dial it if there is none.

        Raises PeerError with run state ``not-run`` if no link can be had within the
        timeout. A link to an earlier process of the VM is closed, as calls on it may
        hang if the VM was suspended. Unless forced, a member that could not be reached
        is dialed again only after a backoff.
        """
        link = self.get(member.vm)
        if link is not None and link.member.incarnation >= member.incarnation:
            return link
        if link is not None:
            self.drop(member.vm)
        backoff = self._backoffs.get(member.vm)
        if backoff and not force and self._clock() < backoff.until:
            raise _unavailable(f"{member.vm} could not be reached recently")
        if self._closed:
            raise _unavailable("the node has stopped")
        dial = self._dials.get(member.vm)
        if dial is None:
            dial = self._tasks.spawn(self._dial(member))
            self._dials[member.vm] = dial
            dial.add_done_callback(lambda _: self._dials.pop(member.vm, None))
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(dial)
        except TimeoutError:
            raise _unavailable(f"no connection to {member.vm} in time") from None

    def close_idle(self, keep: frozenset[str], now: float) -> None:
        """Close idle links, except those to the VMs in ``keep``.

        The acceptor waits twice as long as the dialer: it can't tell whether the dialer
        keeps the link because it has the acceptor as a neighbour.
        """
        self.flows.close_unread(UNREAD_TIMEOUT_S, now)
        for link in self.all():
            idle_s = IDLE_TIMEOUT_S if link.dialed else 2 * IDLE_TIMEOUT_S
            if link.member.vm not in keep and now - link.last_used > idle_s:
                self._drop(link)

    def drop(self, vm: str) -> None:
        """Close every link to a VM."""
        for link in tuple(self._links.get(vm, ())):
            self._drop(link)

    async def _dial(self, member: Member) -> Link:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                link = await self._connect(member)
        except PeerError:
            self._record_dial_failure(member.vm)
            raise
        except (OSError, TimeoutError, capnp.KjException, msgspec.MsgspecError) as exc:
            self._record_dial_failure(member.vm)
            raise _unavailable(f"{member.vm}: {type(exc).__name__}") from None
        self._backoffs.pop(member.vm, None)
        return link

    async def _connect(self, member: Member) -> Link:
        flow = Flow(self.flows, proven=True)  # this side decides to read its messages
        stream = await _open(flow, member)
        client = None
        try:
            client = capnp.TwoPartyClient(
                stream,
                traversal_limit_in_words=MAX_MESSAGE_WORDS,
                nesting_limit=MAX_NESTING,
            )
            link = await self._authenticator.perform_handshake(
                member, stream, client, flow
            )
        except BaseException:
            if client is not None:
                client.close()
            stream.close()
            raise
        self._add(link)
        self._tasks.spawn(self._drop_on_disconnect(link, client))
        return link

    def _make_accepted(self) -> Flow:
        flow = Flow(self.flows, proven=False)
        return flow.serve(lambda stream: self._accept(stream, flow))

    def _accept(self, stream: Any, flow: Flow) -> Any:
        """Return the coroutine that serves a new connection; None closes it."""
        if not self._accepting:
            flow.abort()
            return None
        max_unauthenticated = min(MAX_UNAUTHENTICATED, self._limits.max_links // 2)
        if self._unauthenticated >= max_unauthenticated:
            self._counters.count_refused(RefusalReason.OVERLOADED)
            flow.abort()
            return None
        self._unauthenticated += 1
        return self._serve(stream, flow)

    async def _serve(self, stream: Any, flow: Flow) -> None:
        gate = GateServer(self._authenticator, stream, flow, self._add)
        server = capnp.TwoPartyServer(
            stream,
            bootstrap=gate,
            traversal_limit_in_words=MAX_MESSAGE_WORDS,
            nesting_limit=MAX_NESTING,
        )
        disconnected = asyncio.ensure_future(server.on_disconnect())
        try:
            await self._serve_gate(gate, disconnected)
        finally:
            disconnected.cancel()
            if gate.link is not None:
                self._drop(gate.link)
            stream.close()

    async def _serve_gate(self, gate: GateServer, disconnected: asyncio.Future) -> None:
        authenticated = asyncio.ensure_future(gate.authenticated.wait())
        try:
            await asyncio.wait(
                (disconnected, authenticated),
                timeout=HANDSHAKE_TIMEOUT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            authenticated.cancel()
            self._unauthenticated -= 1
        if gate.link is None:
            self._counters.count_refused(
                RefusalReason.MALFORMED
                if disconnected.done()
                else RefusalReason.TIMEOUT
            )
            return
        closed = asyncio.ensure_future(gate.link.closed.wait())
        try:
            await asyncio.wait(
                (disconnected, closed), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            closed.cancel()

    async def _drop_on_disconnect(self, link: Link, client: Any) -> None:
        with suppress(capnp.KjException):
            await client.on_disconnect()
        self._drop(link)

    def _add(self, link: Link) -> None:
        if self._closed:
            link.close()
            return
        self._links.setdefault(link.member.vm, []).append(link)
        self._close_excess(link)
        self.on_up(link)

    def _close_excess(self, added: Link) -> None:
        """Close links of a VM that has many, and those idle longest if all are many."""
        others = self.all()
        accepted = [link for link in self._links[added.member.vm] if not link.dialed]
        excess = accepted[:-MAX_LINKS_PER_VM]
        if len(others) > self._limits.max_links:
            idle = (link for link in others if link is not added)
            excess.append(min(idle, key=lambda link: link.last_used))
        for link in excess:
            self.flows.close(link.flow, "connections")
            self._drop(link)

    def _note_closed(self, reason: str, flow: Flow) -> None:
        """Count a connection that was closed; log the first of many."""
        self._counters.count_refused(RefusalReason.EXCESS)
        self._on_closed(reason)
        self._closed_unlogged += 1
        now = self._clock()
        if now >= self._log_at:
            logger.bind(
                reason=reason, held_bytes=flow.held_bytes, closed=self._closed_unlogged
            ).warning("connections of peers were closed")
            self._log_at, self._closed_unlogged = now + LOG_INTERVAL_S, 0

    def _drop(self, link: Link) -> None:
        links = self._links.get(link.member.vm, [])
        if link not in links:
            link.close()
            return
        links.remove(link)
        if not links:
            del self._links[link.member.vm]
        link.close()
        self.on_down(link)

    def _record_dial_failure(self, vm: str) -> None:
        backoff = self._backoffs.setdefault(vm, _Backoff())
        max_delay_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**backoff.failures)
        backoff.failures = min(backoff.failures + 1, 16)  # bounds the power of two
        backoff.until = self._clock() + max_delay_s * (0.5 + self._rng.random() / 2)


async def _open(flow: Flow, member: Member) -> Any:
    """Connect to a member and return the RPC library's stream."""
    streams: list[Any] = []
    await asyncio.get_running_loop().create_connection(
        lambda: flow.serve(streams.append), member.ip, member.peer_port
    )
    return streams[0]


def _unavailable(message: str) -> PeerError:
    return PeerError(message, run_state=RunState.NOT_RUN)
