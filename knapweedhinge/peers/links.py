"""Connection pool: dials, accepts, authenticates and closes connections to peers.

One connection carries calls both ways: the dialer passes its own session to the other
side as it authenticates. Connections to neighbours are kept open; any other peer is
dialed when it is called, and its connection is closed when idle.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import Any

import capnp
import msgspec

from knapweedhinge.conf.node import NodeSettings
from knapweedhinge.core.codes import RunState
from knapweedhinge.core.exceptions import PeerError
from knapweedhinge.peers.handshake import Authenticator, GateServer
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


@dataclass
class _Backoff:
    """Failed dials of a VM in a row, and when it may be dialed again."""

    failures: int = 0
    until: float = float("-inf")


class LinkPool:
    """The links of one node to its peers.

    ``on_up`` and ``on_down`` are called for each link that is opened or closed.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        authenticator: Authenticator,
        *,
        clock: Callable[[], float],
        rng: Random,
    ):
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
        self._server = await capnp.AsyncIoStream.create_server(
            self._accept, listen.ip, listen.peer_port
        )
        return self._server.sockets[0].getsockname()[1]

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
        stream = await capnp.AsyncIoStream.create_connection(
            member.ip, member.peer_port
        )
        client = None
        try:
            client = capnp.TwoPartyClient(
                stream,
                traversal_limit_in_words=MAX_MESSAGE_WORDS,
                nesting_limit=MAX_NESTING,
            )
            link = await self._authenticator.perform_handshake(member, stream, client)
        except BaseException:
            if client is not None:
                client.close()
            stream.close()
            raise
        self._add(link)
        self._tasks.spawn(self._drop_on_disconnect(link, client))
        return link

    async def _accept(self, stream: Any) -> None:
        if not self._accepting:
            stream.close()
            return
        if self._unauthenticated >= MAX_UNAUTHENTICATED:
            self._counters.count_refused(RefusalReason.OVERLOADED)
            stream.close()
            return
        self._unauthenticated += 1
        gate = GateServer(self._authenticator, stream, self._add)
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
        self.on_up(link)

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


def _unavailable(message: str) -> PeerError:
    return PeerError(message, run_state=RunState.NOT_RUN)
