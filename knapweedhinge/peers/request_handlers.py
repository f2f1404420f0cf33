"""Handlers for the requests of authenticated peers."""

from collections.abc import Awaitable, Callable

from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import PeerError
from knapweedhinge.peers import wire
from knapweedhinge.peers.failure_detector import FailureDetector
from knapweedhinge.peers.gossip import Gossip
from knapweedhinge.peers.link import Link
from knapweedhinge.peers.members import Member
from knapweedhinge.peers.membership import Membership
from knapweedhinge.peers.sessions import Reply

MAX_METHOD_CHARS = 64  # of a method name in an error message

# Gets the caller's membership record and the payload; returns the answer's payload.
Handler = Callable[[Member, bytes], Awaitable[bytes]]


class RequestHandlers:
    """Handles peers' probes, gossip messages and calls of registered methods.

    Implements ``sessions.SessionHandlers``. ``detector`` and ``gossip`` are set after
    construction, before peers are accepted.
    """

    def __init__(self, membership: Membership):
        self._membership = membership
        self._methods: dict[str, Handler] = {}
        self.detector: FailureDetector | None = None
        self.gossip: Gossip | None = None

    def register(self, method: str, handler: Handler) -> None:
        """Register the handler of a method, replacing an earlier one."""
        self._methods[method] = handler

    async def run(self, method: str, caller: Member, payload: bytes) -> bytes:
        """Run the handler of a method; raises PeerError if there is none."""
        handler = self._methods.get(method)
        if handler is None:
            raise PeerError(
                f"unknown method {method[:MAX_METHOD_CHARS]}",
                code=ResultCode.PEER_MALFORMED,
                run_state=RunState.NOT_RUN,
            )
        return await handler(caller, payload)

    def record_contact(self, link: Link, alive_at: float) -> None:
        """Record that a peer was alive and connected at ``alive_at``."""
        self._membership.record_contact(link.member.vm, alive_at)

    async def probe_for(self, link: Link, vm: str, timeout_s: float) -> bool:
        """Probe a member on behalf of a peer; returns whether it was reached."""
        member = self._membership.member(vm)
        if member is None or vm == self._membership.me.vm:
            return member is not None
        return await self.detector.is_reachable(member, timeout_s)

    def exchange(
        self, link: Link, message: wire.Exchange, delay_s: float
    ) -> wire.Exchange:
        """Return the answer to a gossip message."""
        return self.gossip.serve(link, message, delay_s)

    async def answer(self, link: Link, method: str, payload: bytes) -> Reply:
        """Run the method that a peer calls and return its reply."""
        caller = self._membership.member(link.member.vm) or link.member
        return Reply(await self.run(method, caller, payload))
