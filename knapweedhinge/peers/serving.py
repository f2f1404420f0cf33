"""What a node does for an authenticated peer."""

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

MAX_METHOD_CHARS = 64

Handler = Callable[[Member, bytes], Awaitable[bytes]]


class Serving:
    """Answers peers: probes, the dissemination, and methods registered here."""

    def __init__(self, membership: Membership):
        self._membership = membership
        self._methods: dict[str, Handler] = {}
        self.detector: FailureDetector | None = None
        self.gossip: Gossip | None = None

    def register(self, method: str, handler: Handler) -> None:
        """Serve a method from now on."""
        self._methods[method] = handler

    async def run(self, method: str, caller: Member, payload: bytes) -> bytes:
        """Run a method; raises PeerError if there is none of this name."""
        handler = self._methods.get(method)
        if handler is None:
            raise PeerError(
                f"no method {method[:MAX_METHOD_CHARS]}",
                code=ResultCode.PEER_MALFORMED,
                run_state=RunState.NOT_RUN,
            )
        return await handler(caller, payload)

    def record_contact(self, link: Link, alive_at: float) -> None:
        """Note that a peer was alive and connected at ``alive_at``."""
        self._membership.record_contact(link.member.vm, alive_at)

    async def probe_for(self, link: Link, vm: str, timeout_s: float) -> bool:
        """Probe a member for a peer."""
        member = self._membership.member(vm)
        if member is None or vm == self._membership.me.vm:
            return member is not None
        return await self.detector.is_reachable(member, timeout_s)

    def exchange(
        self, link: Link, message: wire.Exchange, delay_s: float
    ) -> wire.Exchange:
        """Answer a message of the dissemination."""
        return self.gossip.serve(link, message, delay_s)

    async def answer(self, link: Link, method: str, payload: bytes) -> Reply:
        """Answer a call of a peer."""
        caller = self._membership.member(link.member.vm) or link.member
        return Reply(await self.run(method, caller, payload))
